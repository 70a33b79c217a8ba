// Package rotation decides which routers of a place take new connections. An overloaded router leaves the rotation, but
// never so many that the balancer, which uses all routers of a place again when fewer than half of them are ready,
// would undo it.
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
	// Serving says that the router has a configuration and does not stop, Overloaded that it gets too little processor
	// time.
	Serving    bool
	Overloaded bool
}

// Options are the settings of a Controller.
type Options struct {
	// Name is unique among the routers.
	Name string
	// MinAway is the least time out of the rotation; four seconds when zero.
	MinAway clock.Millis
	// PeerLife is how long a peer's state counts; three seconds when zero.
	PeerLife clock.Millis
}

const (
	// defaultMinAway is twice the time in which a balancer that looks once a second sees two looks fail.
	defaultMinAway = 4 * clock.Second
	// defaultPeerLife is several periods of the exchange of 100 routers.
	defaultPeerLife = 3 * clock.Second
)

type peer struct {
	s  State
	at clock.Millis
}

// Controller holds the states of the routers. It is used by one goroutine at a time.
type Controller struct {
	o     Options
	peers map[string]peer
	// away is until when the router stays out of the rotation; 0 when it is in it.
	away clock.Millis
}

// New returns a controller that knows no peers.
func New(o Options) *Controller {
	if o.MinAway == 0 {
		o.MinAway = defaultMinAway
	}
	if o.PeerLife == 0 {
		o.PeerLife = defaultPeerLife
	}
	return &Controller{o: o, peers: make(map[string]peer)}
}

// Merge takes a peer's state in place of its former one.
func (c *Controller) Merge(now clock.Millis, name string, s State) {
	c.peers[name] = peer{s: s, at: now}
}

// candidate is an overloaded router.
type candidate struct {
	capacity int
	name     string
}

// Away reports whether this router, whose state is given, is out of the rotation. The smallest of the overloaded
// routers leave first, and all routers find the same ones.
func (c *Controller) Away(now clock.Millis, own State) bool {
	if !own.Serving || !own.Overloaded && now >= c.away {
		c.away = 0
		return false
	}
	routers, gone := 1, 0
	overloaded := []candidate{{capacity: own.Capacity, name: c.o.Name}}
	for name, p := range c.peers {
		switch {
		case now-p.at > c.o.PeerLife:
			delete(c.peers, name)
			continue
		case p.s.Place != own.Place:
			continue
		case !p.s.Serving:
			gone++
		case p.s.Overloaded:
			overloaded = append(overloaded, candidate{capacity: p.s.Capacity, name: name})
		}
		routers++
	}
	slices.SortFunc(overloaded, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(a.capacity, b.capacity), cmp.Compare(a.name, b.name))
	})
	rank := slices.IndexFunc(overloaded, func(v candidate) bool { return v.name == c.o.Name })
	if rank >= routers/2-gone {
		c.away = 0
		return false
	}
	if c.away == 0 {
		c.away = now + c.o.MinAway
	}
	return true
}
