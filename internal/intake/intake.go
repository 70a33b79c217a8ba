// Package intake decides for each request at a router whether it is sent to a backend server, waits or is refused. It
// spreads plain calls by load, places prompts on engines, which are servers that run a language model, by the predicted
// time to the first token, and divides an overloaded service among teams by max-min fairness. Routers exchange Reports,
// so that decisions use fleet-wide loads and rates. The package does no I/O, starts no goroutine and reads no clock:
// callers pass the time.
//
// A request passes through the files in this order, and each uses those before it:
//
//   - what is known: request, server, peers, report, view, versions, pause, limits, returns
//   - what is owed to teams and what engines can do: supply, share
//   - where the request could go: placement, eventgap, plain, engine
//   - what is decided: evaluation, reason, admission
//   - what is booked: attempt, book
//
// The files intake and poll hold the entry points.
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
	// sizes holds the sizes of the requests sent lately, by service.
	sizes map[string]*sizes
	// admitted holds the keys of the software versions that may begin streams.
	admitted map[uint64]bool
	// startedAt is when the first request came.
	startedAt clock.Millis
	tables    tables
	// peers holds the latest reports of the other routers.
	peers peers
}

// New returns a controller without servers.
func New(o Options) *Controller {
	return &Controller{
		o: o, ledger: fairshare.New(fairshare.Options{}), usage: account.New(),
		servers: make(map[string]*server), pools: make(map[string][]*server),
		forecasts: make(map[string]*forecast.Forecast), attempts: make(map[int64]*attempt),
		capacities: make(map[string]*capacityEstimate), refusals: refusalTable{refused: make(map[uint32]clock.Millis)},
		pauses: make(map[string]clock.Millis), backlogs: make(map[string]*backlog),
		limits: ratelimit.New(o.Name), demands: make(map[string]*demand), peers: newPeers(),
		tables: newTables(), sizes: make(map[string]*sizes),
	}
}

// Configure activates a configuration.
func (c *Controller) Configure(t *routing.Table) { c.table = t }

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
		if !ok || s.entry.Born != e.Born || s.entry.Address != e.Address || s.entry.Version != e.Version {
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
	c.rankServers()
	for id, s := range c.servers {
		if !listed[id] && s.load.Running == 0 {
			delete(c.servers, id)
		}
	}
}

// lists reports whether a server is on the list of servers that may get work; a nil server is not.
func (c *Controller) lists(s *server) bool {
	return s != nil && slices.Contains(c.pools[s.entry.Service], s)
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
