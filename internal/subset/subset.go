// Package subset selects the agents to which a router keeps connections, so that in a large fleet neither routers nor
// agents hold a connection to every peer.
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
	// Board holds the configuration and the states of the agents.
	Board *board.Board
	// Router is the router's name, and Place the name of its place.
	Router string
	Place  string
	// Degree is the number of agents of each service to which a router keeps connections while no request waits long;
	// 16 when zero.
	Degree int
	// WidenAfter is how long a request waits before the router connects to more agents of its service; 100 ms when
	// zero.
	WidenAfter clock.Millis
	// NarrowAfter is the time without such a wait after which the router closes connections again; 1 min when zero.
	NarrowAfter clock.Millis
}

// Defaults of Options.
const (
	defaultDegree      = 16
	defaultWidenAfter  = 100 * clock.Millis(1)
	defaultNarrowAfter = 1 * clock.Minute
)

// reach is the size of one service's subset.
type reach struct {
	// size is the number of answering agents that the subset should have; at least the degree.
	size int
	// changed is when size last changed, and lastPressure when a request last waited for WidenAfter.
	changed      clock.Millis
	lastPressure clock.Millis
}

// Controller ranks the agents of each service for one router. It is used by one goroutine at a time.
type Controller struct {
	opts Options
	// version is the version of the configuration from which ranked was computed.
	version int64
	// ranked holds the server names of each service, the preferred ones first.
	ranked map[string][]string
	// reaches holds the reach of each service.
	reaches map[string]*reach
}

// New returns a controller whose subsets have o.Degree agents.
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
	return &Controller{opts: o, ranked: make(map[string][]string), reaches: make(map[string]*reach)}
}

// RecordOldestWait updates the subset of a service, whose oldest waiting request has waited for oldest; 0 if none
// waits.
func (c *Controller) RecordOldestWait(now clock.Millis, service string, oldest clock.Millis) {
	r, ok := c.reaches[service]
	if !ok {
		r = &reach{size: c.opts.Degree, changed: now, lastPressure: now}
		c.reaches[service] = r
	}
	if oldest >= c.opts.WidenAfter {
		r.lastPressure = now
		c.widen(now, service, r)
		return
	}
	if now-r.lastPressure >= c.opts.NarrowAfter && now-r.changed >= c.opts.NarrowAfter && r.size > c.opts.Degree {
		r.size = max(c.opts.Degree, r.size/2)
		r.changed = now
	}
}

// widen doubles a service's subset, at most once in WidenAfter and not if it already includes all servers.
func (c *Controller) widen(now clock.Millis, service string, r *reach) {
	if now-r.changed < c.opts.WidenAfter || r.size >= len(c.rankedServers()[service]) {
		return
	}
	r.size *= 2
	r.changed = now
}

// Services returns the sorted names of the services that have servers.
func (c *Controller) Services() []string {
	out := make([]string, 0, len(c.rankedServers()))
	for name := range c.rankedServers() {
		out = append(out, name)
	}
	slices.Sort(out)
	return out
}

// Servers returns the servers of a service to whose agents the router keeps connections. Agents that do not answer
// are replaced by the next in rank, until the subset has twice its size.
func (c *Controller) Servers(service string) []string {
	n := c.opts.Degree
	if r, ok := c.reaches[service]; ok {
		n = r.size
	}
	rank := c.rankedServers()[service]
	answering := 0
	for i, name := range rank {
		if answering == n || i == 2*n {
			return rank[:i]
		}
		if p, ok := c.opts.Board.Peer(name); ok && p.State == board.Ready {
			answering++
		}
	}
	return rank
}

// rankedServers returns the servers of each service in the router's order of preference: those in its own place
// first, then those in its region, and within each group by rendezvous hash.
func (c *Controller) rankedServers() map[string][]string {
	st := c.opts.Board.Site()
	if st == nil || c.version == c.opts.Board.Version() {
		return c.ranked
	}
	c.version = c.opts.Board.Version()
	c.ranked = make(map[string][]string)
	for _, s := range c.sortByPreference(st) {
		c.ranked[s.Service()] = append(c.ranked[s.Service()], s.Name())
	}
	return c.ranked
}

func (c *Controller) sortByPreference(st *site.Site) []server.Server {
	servers := st.Servers()
	score := make(map[string]uint64, len(servers))
	tier := make(map[string]int, len(servers))
	for _, s := range servers {
		score[s.Name()] = xxhash.Sum64String(c.opts.Router + "/" + s.Name())
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

// tier returns 0 for a server in the router's own place, 1 for one in its region and 2 for all others.
func (c *Controller) tier(st *site.Site, s server.Server) int {
	if s.Place() == c.opts.Place {
		return 0
	}
	own, ok := st.Place(c.opts.Place)
	other, found := st.Place(s.Place())
	if ok && found && own.Region() == other.Region() {
		return 1
	}
	return 2
}
