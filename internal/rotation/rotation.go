// Package rotation decides which routers of a data centre accept new connections. The load balancer sends the callers
// of one team to a few routers regardless of their size. If that overloads one of them, the smallest routers leave the
// rotation. They are never so many that fewer than half of the routers are ready: the balancer would then use all
// routers of the data centre again and undo the change.
package rotation

import (
	"cmp"
	"slices"

	"github.com/laburnumring/laburnumring/pkg/clock"
)

// State is what a router reports about itself to the others.
type State struct {
	_ struct{} `cbor:",toarray"`
	// Place is the name of the router's data centre.
	Place string
	// Capacity is the router's processor time in thousandths of a core; 0 if it is not known.
	Capacity int
	// Serving reports whether the router has a configuration, may send and is not shutting down.
	Serving bool
	// Overloaded reports whether the router has too little processor time now, RecentlyOverloaded whether it had within
	// Options.OverloadTTL.
	Overloaded         bool
	RecentlyOverloaded bool
	// OutOfRotation reports whether the router takes no new connections.
	OutOfRotation bool
}

// Options configures a Controller.
type Options struct {
	// Name is the router's name, which no other router has.
	Name string
	// OverloadTTL is how long an overload counts; 15 seconds if zero.
	OverloadTTL clock.Millis
	// PeerTTL is how long a peer's state counts; three seconds if zero.
	PeerTTL clock.Millis
}

const (
	// defaultOverloadTTL is longer than most floods of connections last. A flood that starts again then meets the
	// largest routers.
	defaultOverloadTTL = 15 * clock.Second
	// defaultPeerTTL is several periods in which 100 routers exchange their states.
	defaultPeerTTL = 3 * clock.Second
	// smallFraction is the fraction of the largest router's capacity up to which a router counts as small and leaves
	// with an overloaded one: the balancer may send the same load to it next.
	smallFraction = 0.5
)

type peer struct {
	s  State
	at clock.Millis
}

// Controller holds the states of the routers. It is not safe for concurrent use.
type Controller struct {
	o     Options
	peers map[string]peer
	// overloadUntil is when the last overload of this router stops to count; 0 before the first.
	overloadUntil clock.Millis
}

// New returns a controller that knows no peers.
func New(o Options) *Controller {
	if o.OverloadTTL == 0 {
		o.OverloadTTL = defaultOverloadTTL
	}
	if o.PeerTTL == 0 {
		o.PeerTTL = defaultPeerTTL
	}
	return &Controller{o: o, peers: make(map[string]peer)}
}

// RecordOverload records that this router is overloaded now.
func (c *Controller) RecordOverload(now clock.Millis) { c.overloadUntil = now + c.o.OverloadTTL }

// RecentlyOverloaded reports whether an overload of this router still counts.
func (c *Controller) RecentlyOverloaded(now clock.Millis) bool { return now < c.overloadUntil }

// Merge replaces the state of a peer.
func (c *Controller) Merge(now clock.Millis, name string, s State) {
	c.peers[name] = peer{s: s, at: now}
}

// candidate is a router that may leave the rotation.
type candidate struct {
	name string
	s    State
}

// OutOfRotation reports whether this router, whose state is own, must be out of the rotation. Small routers leave if
// any router of the data centre was recently overloaded; others leave while they are overloaded themselves. All routers
// that hold the same states choose the same ones.
func (c *Controller) OutOfRotation(now clock.Millis, own State) bool {
	if !own.Serving {
		return false
	}
	routers, notServing, maxCapacity := 1, 0, own.Capacity
	recentOverload := own.RecentlyOverloaded
	serving := []candidate{{name: c.o.Name, s: own}}
	for name, p := range c.peers {
		switch {
		case now-p.at > c.o.PeerTTL:
			delete(c.peers, name)
			continue
		case p.s.Place != own.Place:
			continue
		case !p.s.Serving:
			notServing++
		default:
			serving = append(serving, candidate{name: name, s: p.s})
			recentOverload = recentOverload || p.s.RecentlyOverloaded
			maxCapacity = max(maxCapacity, p.s.Capacity)
		}
		routers++
	}
	small := own.Capacity < maxCapacity && float64(own.Capacity) <= smallFraction*float64(maxCapacity)
	if small && !recentOverload || !small && !own.Overloaded {
		return false
	}
	slices.SortFunc(serving, candidate.compare)
	rank := slices.IndexFunc(serving, func(v candidate) bool { return v.name == c.o.Name })
	return rank < routers/2-notServing
}

// compare orders the routers by who leaves first: the smallest, and among equal ones those that are overloaded. Of the
// rest, routers that are already out of the rotation stay out, because a balancer keeps a flood on the same routers if
// its set of ready routers does not change.
func (a candidate) compare(b candidate) int {
	return cmp.Or(
		cmp.Compare(a.s.Capacity, b.s.Capacity), trueFirst(a.s.Overloaded, b.s.Overloaded),
		trueFirst(a.s.OutOfRotation, b.s.OutOfRotation), trueFirst(a.s.RecentlyOverloaded, b.s.RecentlyOverloaded), cmp.Compare(a.name, b.name),
	)
}

// trueFirst orders true before false.
func trueFirst(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return -1
	}
	return 1
}
