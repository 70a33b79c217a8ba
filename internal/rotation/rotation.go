// Package rotation decides which routers of a place take new connections. A balancer sends the callers of one team to
// few routers, whatever their size. Where that overloads one, the smallest leave the rotation, but never so many that the
// balancer, which uses all routers of a place again when fewer than half of them are ready, would undo it.
package rotation

import (
	"cmp"
	"slices"

	"github.com/laburnumring/laburnumring/pkg/clock"
)

// State is what a router tells the others of itself.
type State struct {
	_ struct{} `cbor:",toarray"`
	// Place is the name of the router's place.
	Place string
	// Capacity is the router's processor time in thousandths of a core; 0 when it is not known.
	Capacity int
	// Serving says that the router has a configuration, may send and does not stop.
	Serving bool
	// Overloaded says that it gets too little processor time now, Strained that it did lately.
	Overloaded bool
	Strained   bool
	// Away says that it is out of the rotation.
	Away bool
}

// Options are the settings of a Controller.
type Options struct {
	// Name is unique among the routers.
	Name string
	// Memory is how long an overload counts; 15 seconds when zero.
	Memory clock.Millis
	// PeerLife is how long a peer's state counts; three seconds when zero.
	PeerLife clock.Millis
}

const (
	// defaultMemory is longer than most floods: where one begins anew, it finds the largest routers.
	defaultMemory = 15 * clock.Second
	// defaultPeerLife is several periods of the exchange of 100 routers.
	defaultPeerLife = 3 * clock.Second
	// smallPart is the part of the largest router's size up to which a router leaves beside an overloaded one: the
	// balancer may send the same load to it next.
	smallPart = 0.5
)

type peer struct {
	s  State
	at clock.Millis
}

// Controller holds the states of the routers. It is used by one goroutine at a time.
type Controller struct {
	o     Options
	peers map[string]peer
	// until is how long the router's last overload counts; 0 before the first.
	until clock.Millis
}

// New returns a controller that knows no peers.
func New(o Options) *Controller {
	if o.Memory == 0 {
		o.Memory = defaultMemory
	}
	if o.PeerLife == 0 {
		o.PeerLife = defaultPeerLife
	}
	return &Controller{o: o, peers: make(map[string]peer)}
}

// Overloaded records that this router is overloaded now.
func (c *Controller) Overloaded(now clock.Millis) { c.until = now + c.o.Memory }

// Strained reports whether this router was overloaded lately.
func (c *Controller) Strained(now clock.Millis) bool { return now < c.until }

// Merge takes a peer's state in place of its former one.
func (c *Controller) Merge(now clock.Millis, name string, s State) {
	c.peers[name] = peer{s: s, at: now}
}

// candidate is a router that may leave.
type candidate struct {
	name string
	s    State
}

// Away reports whether this router, whose state is given, is to be out of the rotation. Where a router of the place was
// overloaded lately, the small ones leave; others leave while they are overloaded themselves. All routers find the same
// ones.
func (c *Controller) Away(now clock.Millis, own State) bool {
	if !own.Serving {
		return false
	}
	routers, gone, largest := 1, 0, own.Capacity
	strained := own.Strained
	in := []candidate{{name: c.o.Name, s: own}}
	for name, p := range c.peers {
		switch {
		case now-p.at > c.o.PeerLife:
			delete(c.peers, name)
			continue
		case p.s.Place != own.Place:
			continue
		case !p.s.Serving:
			gone++
		default:
			in = append(in, candidate{name: name, s: p.s})
			strained = strained || p.s.Strained
			largest = max(largest, p.s.Capacity)
		}
		routers++
	}
	small := own.Capacity < largest && float64(own.Capacity) <= smallPart*float64(largest)
	if small && !strained || !small && !own.Overloaded {
		return false
	}
	slices.SortFunc(in, candidate.compare)
	rank := slices.IndexFunc(in, func(v candidate) bool { return v.name == c.o.Name })
	return rank < routers/2-gone
}

// compare orders the routers by who leaves first: the smallest, and of these the ones that cannot go on. Who is away
// stays so before others, as a balancer that is left alone keeps a flood where it is.
func (a candidate) compare(b candidate) int {
	return cmp.Or(
		cmp.Compare(a.s.Capacity, b.s.Capacity), trueFirst(a.s.Overloaded, b.s.Overloaded),
		trueFirst(a.s.Away, b.s.Away), trueFirst(a.s.Strained, b.s.Strained), cmp.Compare(a.name, b.name),
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
