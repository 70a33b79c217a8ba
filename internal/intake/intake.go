// Package intake decides for each request at a router whether it is sent to a backend server, waits or is refused. It
// spreads plain calls by load, places prompts on engines, which are servers that run a language model, by the predicted
// time to the first token, and divides an overloaded service among teams by max-min fairness. Routers exchange Reports,
// so that decisions use fleet-wide loads and rates. The package does no I/O, starts no goroutine and reads no clock:
// callers pass the time.
package intake

import (
	"slices"

	"github.com/laburnumring/laburnumring"
	"github.com/laburnumring/laburnumring/internal/account"
	"github.com/laburnumring/laburnumring/internal/fairshare"
	"github.com/laburnumring/laburnumring/internal/forecast"
	"github.com/laburnumring/laburnumring/internal/ratelimit"
	"github.com/laburnumring/laburnumring/internal/routing"
	"github.com/laburnumring/laburnumring/pkg/clock"
)

// Options are the settings of a Controller.
type Options struct {
	// Place is the data centre of the router; servers in it are slightly preferred.
	Place string
	// Name is the router's name in the peers' reports.
	Name string
	// Alone is set if the router was started without the address of any other router.
	Alone bool
	// ColdOverage and ColdSlack bound the requests that a cold server gets in any second from all routers: its service's
	// rate times ColdOverage plus ColdSlack. No server is treated as cold if ColdOverage is 0.
	ColdOverage float64
	ColdSlack   float64
}

// attempt is a request that was sent to a server and has not ended.
type attempt struct {
	r      Request
	server string
	load   Load
	// tokensToRead is the prompt tokens that the server had to read before the first token, those of this request
	// included.
	tokensToRead int64
	// unqueuedMs is the predicted time to the first token with an empty queue, in milliseconds.
	unqueuedMs int64
	sentAt     clock.Millis
	started    bool
	// cold is set if the server was cold when the request was sent.
	cold bool
}

// Controller decides on the requests of one router and tracks those that wait or run. It is not safe for concurrent
// use.
type Controller struct {
	o      Options
	ledger *fairshare.Ledger
	// usage counts the tokens that teams requested and received from engines since the last TakeUsage.
	usage *account.Usage
	// table is the active configuration; nil until the first Configure.
	table *routing.Table
	// servers holds, by id, the listed servers and those that left the list but still have requests; pools holds the
	// listed servers by service.
	servers map[string]*server
	pools   map[string][]*server
	// forecasts predicts the engines' times to the first token, by service.
	forecasts map[string]*forecast.Forecast
	// capacities estimates the engines' throughput, by service.
	capacities map[string]*capacityEstimate
	// attempts holds the requests at servers by id, waiting those without a server. Poll sorts waiting by priority.
	attempts map[int64]*attempt
	waiting  []Request
	// backlogs sums the waiting requests by service. polls is the number of polls that left some undecided, and lastPoll
	// the time of the last poll.
	backlogs map[string]*backlog
	polls    int
	lastPoll clock.Millis
	// refusals holds the recently refused requests, by which retries are recognised.
	refusals refusalTable
	// busy is set while the router has too little processor time for further streams.
	busy bool
	// timersLate is set while the router's timers are so late that the times it measures are due to the router as much
	// as to the engines.
	timersLate bool
	// pauses holds the time until which each server wants no requests from this router, by id.
	pauses map[string]clock.Millis
	// limits holds the rates of requests that servers take, and demands this router's demand by service.
	limits  *ratelimit.Table
	demands map[string]*demand
	// colds holds the cold times of the servers by id, reopened when places were reopened, and coldTimes how much slower
	// cold servers are, by service. membership knows the routers that share the limits of cold servers.
	colds      map[string]*coldServer
	reopened   map[string]clock.Millis
	coldTimes  map[string]*forecast.Cold
	membership *ratelimit.Membership
	// now is the latest time that UpdateCold or PlaceReopened was called with.
	now clock.Millis
	// admitted holds the keys of the software versions that may begin streams.
	admitted map[uint64]bool
	// startedAt is when the first request came.
	startedAt clock.Millis
	// peers holds the latest reports of the other routers.
	peers peers
}

// New returns a controller without servers.
func New(o Options) *Controller {
	c := &Controller{
		o: o, ledger: fairshare.New(fairshare.Options{}), usage: account.New(),
		servers: make(map[string]*server), pools: make(map[string][]*server),
		forecasts: make(map[string]*forecast.Forecast), attempts: make(map[int64]*attempt),
		capacities: make(map[string]*capacityEstimate), refusals: refusalTable{refused: make(map[uint32]clock.Millis)},
		pauses: make(map[string]clock.Millis), backlogs: make(map[string]*backlog),
		limits: ratelimit.New(o.Name), demands: make(map[string]*demand), peers: newPeers(),
		colds: make(map[string]*coldServer), reopened: make(map[string]clock.Millis),
		coldTimes: make(map[string]*forecast.Cold), membership: ratelimit.NewMembership(o.Alone),
	}
	c.limits.SetFleet(c.membership.Fleet)
	return c
}

// Configure activates a configuration.
func (c *Controller) Configure(t *routing.Table) {
	c.table = t
	c.restoreCold()
}

// SetBusy sets whether the router has too little processor time for further streams while other routers may have
// enough.
func (c *Controller) SetBusy(busy bool) { c.busy = busy }

// maxTimerLag is the mean timer lag up to which the router can measure how long engines take: a request waits for the
// processor about five times before its first event.
const maxTimerLag = 10 * clock.Millis(1)

// SetLag sets the mean lag of the router's timers.
func (c *Controller) SetLag(lag clock.Millis) { c.timersLate = lag > maxTimerLag }

// SetServers replaces the list of servers that may get work. Requests at servers that left the list continue. An entry
// with another Born, Address or Version than before is a new server: it inherits the load but none of the other observations.
func (c *Controller) SetServers(entries []laburnumring.ServerEntry) {
	c.pools = make(map[string][]*server)
	listed := make(map[string]bool, len(entries))
	for _, e := range entries {
		listed[e.ID] = true
		s, ok := c.servers[e.ID]
		if !ok || !s.entry.SameIncarnation(e) {
			replacement := &server{key: KeyOf(e.ID), cached: make(map[string]clock.Millis)}
			if ok {
				replacement.load = s.load
			}
			s = replacement
			c.servers[e.ID] = s
			c.forecast(e.Service).Forget(e.ID)
			c.limits.Forget(uint32(s.key))
		}
		s.entry = e
		s.software = e.Software().Key()
		c.pools[e.Service] = append(c.pools[e.Service], s)
	}
	for id, s := range c.servers {
		if !listed[id] && s.load.Running == 0 {
			delete(c.servers, id)
		}
	}
	c.restoreCold()
}

// Accepts reports whether a server is on the list of servers that may get work and has not asked for a pause.
func (c *Controller) Accepts(now clock.Millis, id string) bool {
	s, ok := c.servers[id]
	return ok && now >= c.pauses[id] && slices.Contains(c.pools[s.entry.Service], s)
}

// Submit decides on a new request. It returns false if the request waits; Poll decides on it later.
func (c *Controller) Submit(now clock.Millis, r Request) (Decision, bool) {
	if c.startedAt == 0 {
		c.startedAt = now
	}
	r.firstArrived = r.Arrived
	if at, ok := c.refusals.firstRefused(now, uint32(r.Fingerprint)); ok {
		r.firstArrived = min(at, r.Arrived-1)
	}
	if c.isEngine(r.Service) {
		c.ledger.AddArrived(now, r.Team, r.tokens())
		if r.retried() {
			c.usage.Team(r.Team).Retried += r.tokens()
		} else {
			c.usage.Team(r.Team).Demand += r.tokens()
			c.ledger.AddDemand(now, r.Team, r.tokens())
		}
	}
	d, decided := c.decideOrQueue(now, r)
	if d.Refusal == nil || d.Refusal.Reason != ReasonOverShare && d.Refusal.Reason != reasonBusy {
		c.demand(r.Service).count(now)
	}
	return d, decided
}

// Resubmit decides on a request that needs another server after an attempt. It returns false if the request waits.
func (c *Controller) Resubmit(now clock.Millis, r Request) (Decision, bool) {
	r.firstArrived = r.Arrived
	return c.decideOrQueue(now, r)
}

// decideOrQueue decides on a request, or adds it to the waiting ones and returns false.
func (c *Controller) decideOrQueue(now clock.Millis, r Request) (Decision, bool) {
	if d, ok := c.decide(now, r, c.view(now)); ok {
		c.handleRefusal(now, r, d)
		return d, true
	}
	c.waiting = append(c.waiting, r)
	c.backlog(r.Service).add(r, 1)
	return Decision{}, false
}

// handleRefusal records the refusal of a request to an engine in the team's usage and in the table of refusals.
func (c *Controller) handleRefusal(now clock.Millis, r Request, d Decision) {
	if d.Refusal == nil || !c.isEngine(r.Service) {
		return
	}
	c.RecordRefusal(r, d.Refusal.Reason)
	switch {
	case d.Refusal.Reason != reasonBusy:
		c.refusals.record(now, uint32(r.Fingerprint))
	case !r.retried():
		// The caller retries at another router at once, which counts the demand.
		c.ledger.AddDemand(now, r.Team, -r.tokens())
	}
}

// Waiting returns the number of waiting requests.
func (c *Controller) Waiting() int { return len(c.waiting) }

// Withdraw removes a waiting request.
func (c *Controller) Withdraw(id int64) {
	c.waiting = slices.DeleteFunc(c.waiting, func(r Request) bool {
		if r.ID == id {
			c.backlog(r.Service).add(r, -1)
		}
		return r.ID == id
	})
}

// Started records the first event of a stream or the answer to a plain call.
func (c *Controller) Started(now clock.Millis, id int64) {
	a, ok := c.attempts[id]
	if !ok || a.started {
		return
	}
	a.started = true
	s := c.servers[a.server]
	s.load.Queued -= a.load.Queued
	s.succeeded()
	if !c.isEngine(a.r.Service) {
		return
	}
	c.recordStart(now, a.r)
	if !c.timersLate {
		c.observeStart(now, a)
		if fraction, ok := waitFraction(float64(now-a.sentAt), float64(a.unqueuedMs), float64(a.r.Goal)); ok {
			c.capacity(a.r.Service).observeWait(fraction)
		}
	}
}

// Result is the outcome of an attempt.
type Result int

// Outcomes of an attempt.
const (
	// Whole means that the server gave a complete answer.
	Whole Result = iota + 1
	// Failed means that the server failed the request: it gave no answer, a broken one, or one that reports an error.
	Failed
	// NotRun means that the server did not accept the request.
	NotRun
	// Unreachable means that no connection to the server could be established.
	Unreachable
	// Abandoned means that the caller disconnected or the request's deadline passed.
	Abandoned
)

// Ended records the end of an attempt.
func (c *Controller) Ended(now clock.Millis, id int64, res Result) {
	a, ok := c.attempts[id]
	if !ok {
		return
	}
	delete(c.attempts, id)
	s := c.servers[a.server]
	s.load.Running--
	s.load.Memory -= a.load.Memory
	if !a.started {
		s.load.Queued -= a.load.Queued
	}
	c.recordResult(now, s, a, res)
	if s.load.Running == 0 && !slices.Contains(c.pools[s.entry.Service], s) {
		delete(c.servers, a.server)
	}
}

// Unreachable records that no connection to a server can be established. The server gets no work for a while and is
// assumed to have lost its cached prompt parts.
func (c *Controller) Unreachable(now clock.Millis, id string) {
	if s, ok := c.servers[id]; ok {
		s.block(now)
		clear(s.cached)
	}
}

// recordResult updates the server's statistics with the outcome of an attempt. It reverts the team's charge if the
// request neither started in this attempt nor before.
func (c *Controller) recordResult(now clock.Millis, s *server, a *attempt, res Result) {
	switch res {
	case Whole:
		s.succeeded()
		if !c.isEngine(a.r.Service) {
			took := float64(now - a.sentAt)
			if s.latencyMs == 0 {
				s.latencyMs = took
			}
			s.latencyMs += latencyWeight * (took - s.latencyMs)
		}
	case Failed:
		s.failed()
	case Unreachable:
		c.Unreachable(now, a.server)
	case NotRun, Abandoned:
	}
	if !a.started && !a.r.Committed && res != Whole && c.isEngine(a.r.Service) {
		c.ledger.AddServed(now, a.r.Team, -a.r.tokens())
		c.usage.Team(a.r.Team).Reverted += a.r.tokens()
	}
}

// Progress records that a number of a stream's events arrived, the given time after the preceding ones.
func (c *Controller) Progress(id int64, events int, took clock.Millis) {
	a, ok := c.attempts[id]
	if !ok || events == 0 || c.timersLate {
		return
	}
	s := c.servers[a.server]
	gap := float64(took) / float64(events)
	if s.eventGapMs == 0 {
		s.eventGapMs = gap
	}
	s.eventGapMs += eventGapWeight * float64(events) * (gap - s.eventGapMs)
}

func (c *Controller) isEngine(service string) bool {
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
