// Package intake decides which backend server runs a request, which request waits, and which is refused. It holds
// no socket, goroutine or clock.
package intake

import (
	"slices"

	"github.com/laburnumring/laburnumring"
	"github.com/laburnumring/laburnumring/internal/account"
	"github.com/laburnumring/laburnumring/internal/fairshare"
	"github.com/laburnumring/laburnumring/internal/forecast"
	"github.com/laburnumring/laburnumring/internal/routing"
	"github.com/laburnumring/laburnumring/pkg/clock"
)

// Options are the settings of a Controller.
type Options struct {
	// Place is the name of the router's place; its servers are preferred a little.
	Place string
}

// run is a request at a server.
type run struct {
	r      Request
	server string
	load   Load
	// ahead is the prompt tokens that the server had to read up to the first token, alone the milliseconds that this
	// was expected to take without a queue, and sent when it was sent.
	ahead   int64
	alone   int64
	sent    clock.Millis
	started bool
}

// Controller holds the waiting and running requests of one router. It is used by one goroutine at a time.
type Controller struct {
	o      Options
	ledger *fairshare.Ledger
	// book holds what teams got of engines since it was last taken.
	book *account.Book
	// table is the configuration in force; nil before the first.
	table *routing.Table
	// servers holds the servers that may get work and those that still have some, by id; pools those that may get
	// work, by service.
	servers map[string]*server
	pools   map[string][]*server
	// forecasts holds the engines' times by service.
	forecasts map[string]*forecast.Forecast
	// supplies holds the engines' throughput by service.
	supplies map[string]*supply
	// runs holds the requests at servers, waiting those without one in the order of arrival.
	runs    map[int64]*run
	waiting []Request
	// returns knows who was refused lately.
	returns returns
	// busy says that the router has too little processor time for more streams, and lagging that times which it takes are
	// its own as much as the engines'.
	busy    bool
	lagging bool
	// peers holds the peers' last reports.
	peers peers
}

// New returns a controller without servers.
func New(o Options) *Controller {
	return &Controller{
		o: o, ledger: fairshare.New(fairshare.Options{}), book: account.New(),
		servers: make(map[string]*server), pools: make(map[string][]*server),
		forecasts: make(map[string]*forecast.Forecast), runs: make(map[int64]*run),
		supplies: make(map[string]*supply), returns: returns{refused: make(map[uint64]clock.Millis)},
		peers: newPeers(),
	}
}

// Configure puts a configuration in force.
func (c *Controller) Configure(t *routing.Table) { c.table = t }

// SetBusy says whether the router has too little processor time for more streams, and others may have more.
func (c *Controller) SetBusy(busy bool) { c.busy = busy }

// maxLag is the mean lateness of the router's timers up to which it can tell how long engines take: a request waits for the
// processor some five times until its first event.
const maxLag = 10 * clock.Millis(1)

// SetLag says how late the router's timers are on average.
func (c *Controller) SetLag(late clock.Millis) { c.lagging = late > maxLag }

// SetServers replaces the servers that may get work. Requests at others go on.
func (c *Controller) SetServers(entries []laburnumring.ServerEntry) {
	c.pools = make(map[string][]*server)
	listed := make(map[string]bool, len(entries))
	for _, e := range entries {
		listed[e.ID] = true
		s, ok := c.servers[e.ID]
		if !ok || s.entry.Born != e.Born || s.entry.Address != e.Address {
			next := &server{kept: make(map[string]clock.Millis)}
			if ok {
				next.load = s.load
			}
			s = next
			c.servers[e.ID] = s
			c.forecast(e.Service).Forget(e.ID)
		}
		s.entry = e
		c.pools[e.Service] = append(c.pools[e.Service], s)
	}
	for id, s := range c.servers {
		if !listed[id] && s.load.Running == 0 {
			delete(c.servers, id)
		}
	}
}

// Listed reports whether a server may get work.
func (c *Controller) Listed(id string) bool {
	s, ok := c.servers[id]
	return ok && slices.Contains(c.pools[s.entry.Service], s)
}

// Submit takes a new request. It returns false when the request waits.
func (c *Controller) Submit(now clock.Millis, r Request) (Decision, bool) {
	r.asked = r.Arrived
	if at, ok := c.returns.first(now, r.Fingerprint); ok {
		r.asked = min(at, r.Arrived-1)
	}
	if c.engine(r.Service) {
		c.ledger.Come(now, r.Team, r.tokens())
		if r.returned() {
			c.book.Team(r.Team).Returned += r.tokens()
		} else {
			c.book.Team(r.Team).Asked += r.tokens()
			c.ledger.Ask(now, r.Team, r.tokens())
		}
	}
	return c.consider(now, r)
}

// Retry takes a request that was at a server and needs another. It returns false when the request waits.
func (c *Controller) Retry(now clock.Millis, r Request) (Decision, bool) {
	r.asked = r.Arrived
	return c.consider(now, r)
}

// consider decides on a request or lets it wait.
func (c *Controller) consider(now clock.Millis, r Request) (Decision, bool) {
	if d, ok := c.decide(now, r, c.view(now)); ok {
		c.noteRefusal(now, r, d)
		return d, true
	}
	c.waiting = append(c.waiting, r)
	return Decision{}, false
}

func (c *Controller) noteRefusal(now clock.Millis, r Request, d Decision) {
	if d.Refusal == nil || !c.engine(r.Service) {
		return
	}
	c.BookRefusal(r, d.Refusal.Reason)
	switch {
	case d.Refusal.Reason != reasonBusy:
		c.returns.note(now, r.Fingerprint)
	case !r.returned():
		// The router to which the caller goes counts the request.
		c.ledger.Ask(now, r.Team, -r.tokens())
	}
}

// Poll returns the decisions on waiting requests that can be made now.
func (c *Controller) Poll(now clock.Millis) []Decision {
	if len(c.waiting) == 0 {
		return nil
	}
	v := c.view(now)
	// Teams that received least go first; among one team's requests, those that came first.
	slices.SortStableFunc(c.waiting, func(a, b Request) int {
		switch x, y := v.teams[a.Team].Served, v.teams[b.Team].Served; {
		case x < y:
			return -1
		case x > y:
			return 1
		}
		return int(a.Arrived - b.Arrived)
	})
	var out []Decision
	c.waiting = slices.DeleteFunc(c.waiting, func(r Request) bool {
		d, ok := c.decide(now, r, v)
		if ok {
			c.noteRefusal(now, r, d)
			out = append(out, d)
		}
		return ok
	})
	return out
}

// Waiting returns how many requests wait.
func (c *Controller) Waiting() int { return len(c.waiting) }

// Withdraw drops a waiting request.
func (c *Controller) Withdraw(id int64) {
	c.waiting = slices.DeleteFunc(c.waiting, func(r Request) bool { return r.ID == id })
}

// Started records a request's first token or answer.
func (c *Controller) Started(now clock.Millis, id int64) {
	v, ok := c.runs[id]
	if !ok || v.started {
		return
	}
	v.started = true
	s := c.servers[v.server]
	s.load.Queued -= v.load.Queued
	s.succeeded()
	if !c.engine(v.r.Service) {
		return
	}
	c.bookBegin(now, v.r)
	if !c.lagging {
		c.forecast(v.r.Service).Observe(v.server, v.ahead, now-v.sent)
		if part, ok := queueing(float64(now-v.sent), float64(v.alone), float64(v.r.Goal)); ok {
			c.supply(v.r.Service).began(part)
		}
	}
}

// Result says how a request's stay at a server ended.
type Result int

// The results.
const (
	// Whole means that the server gave a whole answer.
	Whole Result = iota + 1
	// Failed means that the server failed the request: no or a broken answer, or one that says so.
	Failed
	// NotRun means that the server did not take the request.
	NotRun
	// Unreachable means that no connection to the server could be made.
	Unreachable
	// Left means that the caller went away or its time was over.
	Left
)

// Ended records the end of a request's stay at a server.
func (c *Controller) Ended(now clock.Millis, id int64, res Result) {
	v, ok := c.runs[id]
	if !ok {
		return
	}
	delete(c.runs, id)
	s := c.servers[v.server]
	s.load.Running--
	s.load.Memory -= v.load.Memory
	if !v.started {
		s.load.Queued -= v.load.Queued
	}
	c.judge(now, s, v, res)
	if s.load.Running == 0 && !slices.Contains(c.pools[s.entry.Service], s) {
		delete(c.servers, v.server)
	}
}

// Unreachable records that no connection to a server can be made.
func (c *Controller) Unreachable(now clock.Millis, id string) {
	if s, ok := c.servers[id]; ok {
		s.block(now)
		clear(s.kept)
	}
}

func (c *Controller) judge(now clock.Millis, s *server, v *run, res Result) {
	switch res {
	case Whole:
		s.succeeded()
		if !c.engine(v.r.Service) {
			took := float64(now - v.sent)
			if s.latency == 0 {
				s.latency = took
			}
			s.latency += latencyWeight * (took - s.latency)
		}
	case Failed:
		s.failed()
	case Unreachable:
		c.Unreachable(now, v.server)
	case NotRun, Left:
	}
	if !v.started && !v.r.Begun && res != Whole && c.engine(v.r.Service) {
		c.ledger.Serve(now, v.r.Team, -v.r.tokens())
		c.book.Team(v.r.Team).Undone += v.r.tokens()
	}
}

// Progress records that a stream's next events came, after the given time since those before.
func (c *Controller) Progress(id int64, events int, took clock.Millis) {
	v, ok := c.runs[id]
	if !ok || events == 0 || c.lagging {
		return
	}
	s := c.servers[v.server]
	pause := float64(took) / float64(events)
	if s.pace == 0 {
		s.pace = pause
	}
	s.pace += paceWeight * float64(events) * (pause - s.pace)
}

func (c *Controller) engine(service string) bool {
	if c.table == nil {
		return false
	}
	s, _ := c.table.Service(service)
	return s.IsEngine
}

func (c *Controller) forecast(service string) *forecast.Forecast {
	f, ok := c.forecasts[service]
	if !ok {
		f = forecast.New()
		c.forecasts[service] = f
	}
	return f
}
