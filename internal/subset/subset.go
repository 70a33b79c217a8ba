// Package subset decides to which agents a router keeps connections, so that neither side holds a connection
// to every peer of a large fleet.
package subset

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/laburnumring/laburnumring/internal/board"
	"github.com/laburnumring/laburnumring/pkg/clock"
	"github.com/laburnumring/laburnumring/pkg/server"
	"github.com/laburnumring/laburnumring/pkg/site"
)

// Options are the settings of a Controller.
type Options struct {
	// Board holds the configuration and the agents.
	Board *board.Board
	// Router is the router's name and Place the name of the place where it stands.
	Router string
	Place  string
	// Degree is how many agents of each service a router keeps connections to while nothing waits long;
	// 16 when zero.
	Degree int
	// WidenAfter is how long a request waits before the router connects to more agents of its service.
	WidenAfter clock.Millis
	// NarrowAfter is how long no request waited that long before the router drops connections again.
	NarrowAfter clock.Millis
}

// Defaults of Options.
const (
	defaultDegree      = 16
	defaultWidenAfter  = 100 * clock.Millis(1)
	defaultNarrowAfter = 1 * clock.Minute
)

// width is how far one service's subset reaches.
type width struct {
	// n is how many answering agents the subset should have; at least the degree.
	n int
	// changed is when n last changed, and pressed when a request last waited too long.
	changed clock.Millis
	pressed clock.Millis
}

// Controller ranks the agents of each service for one router. It is used by one goroutine at a time.
type Controller struct {
	o Options
	// version is the configuration that ranks was made from.
	version int64
	// ranks holds each service's server names, the preferred ones first.
	ranks map[string][]string
	// widths holds each service's reach.
	widths map[string]*width
}

// New returns a controller whose subsets have the degree of o.
func New(o Options) *Controller {
	if o.Degree == 0 {
		o.Degree = defaultDegree
	}
	if o.WidenAfter == 0 {
		o.WidenAfter = defaultWidenAfter
	}
	if o.NarrowAfter == 0 {
		o.NarrowAfter = defaultNarrowAfter
	}
	return &Controller{o: o, ranks: make(map[string][]string), widths: make(map[string]*width)}
}

// Waited tells how long the oldest waiting request of a service has waited; 0 when none waits.
func (c *Controller) Waited(now clock.Millis, service string, oldest clock.Millis) {
	w, ok := c.widths[service]
	if !ok {
		w = &width{n: c.o.Degree, changed: now, pressed: now}
		c.widths[service] = w
	}
	if oldest >= c.o.WidenAfter {
		w.pressed = now
		c.widen(now, service, w)
		return
	}
	if now-w.pressed >= c.o.NarrowAfter && now-w.changed >= c.o.NarrowAfter && w.n > c.o.Degree {
		w.n = max(c.o.Degree, w.n/2)
		w.changed = now
	}
}

// widen doubles a service's reach, at most once in WidenAfter and not past its servers.
func (c *Controller) widen(now clock.Millis, service string, w *width) {
	if now-w.changed < c.o.WidenAfter || w.n >= len(c.rank()[service]) {
		return
	}
	w.n *= 2
	w.changed = now
}

// Services returns the names of the services that have servers, in a fixed order.
func (c *Controller) Services() []string {
	out := make([]string, 0, len(c.rank()))
	for name := range c.rank() {
		out = append(out, name)
	}
	slices.Sort(out)
	return out
}

// Servers returns the servers of a service to whose agents the router keeps connections. Agents that do not
// answer are replaced by the next in rank, up to twice the reach.
func (c *Controller) Servers(service string) []string {
	n := c.o.Degree
	if w, ok := c.widths[service]; ok {
		n = w.n
	}
	rank := c.rank()[service]
	answering := 0
	for i, name := range rank {
		if answering == n || i == 2*n {
			return rank[:i]
		}
		if p, ok := c.o.Board.Peer(name); ok && p.State == board.Ready {
			answering++
		}
	}
	return rank
}

// rank returns the servers of each service in the router's order of preference: its own place first, then
// its region, and within each by rendezvous hash.
func (c *Controller) rank() map[string][]string {
	st := c.o.Board.Site()
	if st == nil || c.version == c.o.Board.Version() {
		return c.ranks
	}
	c.version = c.o.Board.Version()
	c.ranks = make(map[string][]string)
	for _, s := range c.sorted(st) {
		c.ranks[s.Service()] = append(c.ranks[s.Service()], s.Name())
	}
	return c.ranks
}

func (c *Controller) sorted(st *site.Site) []server.Server {
	servers := st.Servers()
	score := make(map[string]uint64, len(servers))
	tier := make(map[string]int, len(servers))
	for _, s := range servers {
		score[s.Name()] = xxhash.Sum64String(c.o.Router + "/" + s.Name())
		tier[s.Name()] = c.tier(st, s)
	}
	slices.SortFunc(servers, func(a, b server.Server) int {
		return cmp.Or(
			cmp.Compare(tier[a.Name()], tier[b.Name()]),
			cmp.Compare(score[b.Name()], score[a.Name()]),
			cmp.Compare(a.Name(), b.Name()),
		)
	})
	return servers
}

// tier is 0 for the router's own place, 1 for its region and 2 for the rest.
func (c *Controller) tier(st *site.Site, s server.Server) int {
	if s.Place() == c.o.Place {
		return 0
	}
	own, ok := st.Place(c.o.Place)
	other, found := st.Place(s.Place())
	if ok && found && own.Region() == other.Region() {
		return 1
	}
	return 2
}
