// Package dispatch decides, in a router, which agent runs each request and when to give up.
package dispatch

import (
	"slices"

	"github.com/laburnumring/laburnumring"
	"github.com/laburnumring/laburnumring/internal/board"
	"github.com/laburnumring/laburnumring/internal/budget"
	"github.com/laburnumring/laburnumring/internal/invariant"
	"github.com/laburnumring/laburnumring/internal/suspect"
	"github.com/laburnumring/laburnumring/internal/ticket"
	"github.com/laburnumring/laburnumring/pkg/clock"
	"github.com/laburnumring/laburnumring/pkg/outcome"
	"github.com/laburnumring/laburnumring/pkg/service"
)

// Options are the settings of a Controller.
type Options struct {
	// Board holds the configuration and the agents.
	Board *board.Board
	// Placement chooses the agents that get a request's tickets.
	Placement laburnumring.Placement
	// TicketWindow is the most requests of one team and service that have tickets out; 64 when zero.
	TicketWindow int
	// Suspects knows the requests that run alone or not at all; nil for none.
	Suspects *suspect.List
	// Invariants takes violations; the zero value panics.
	Invariants invariant.Checker
}

// Bounds and defaults.
const (
	defaultTicketWindow = 64
	minRetryAfter       = 200 * clock.Millis(1)
	maxRetryAfter       = 30 * clock.Second
	budgetBurst         = 3
	// minRenewal and maxRenewal bound the time after which a waiting request's tickets are left again.
	minRenewal = 1 * clock.Second
	maxRenewal = 8 * clock.Second
	// minPause and maxPause bound the time before a request's tickets are left again after an agent refused
	// them, or refused to start it.
	minPause = 10 * clock.Millis(1)
	maxPause = 1 * clock.Second
	// maxNotRun is how many attempts of one request may end without a start.
	maxNotRun = 16
)

// group is one team's requests for one service.
type group struct {
	team    string
	service string
}

// pending is one request that has not ended.
type pending struct {
	r       Request
	arrived clock.Millis
	// attempt counts the times that the request was bound.
	attempt int
	// tries counts the attempts that may have started; at most one unless the request is repeatable.
	tries int
	// delivered is how many bytes of the answer the caller has.
	delivered int64
	// tickets names the servers that hold a ticket; empty while bound.
	tickets []string
	// renewal is the time until the tickets are left again; it doubles at each renewal.
	renewal clock.Millis
	// renewAt is when the tickets are left again; no ticket is left before pausedUntil.
	renewAt     clock.Millis
	pausedUntil clock.Millis
	// refusals counts the attempts and tickets that agents refused, and notRun the attempts alone.
	refusals int
	notRun   int
	// avoid names the server of the last failed attempt.
	avoid string
	// bound names the server that runs the current attempt; empty while waiting.
	bound string
	// aborted says that the running attempt was told to stop.
	aborted bool
}

// Controller keeps a router's requests from arrival to end. It is used by one goroutine at a time.
type Controller struct {
	o Options
	// requests holds every request that has not ended.
	requests map[string]*pending
	// queues holds the waiting requests of each group, oldest first; no queue is empty.
	queues map[group][]*pending
	// budgets holds the retry budget of each group that ever had a request.
	budgets map[group]*budget.Budget
	// drains holds the observed rate of each group that ever had a request bound.
	drains map[group]*drain
	// outliers holds the servers whose last attempts failed.
	outliers map[string]*outlier
	// retries counts attempts after one that may have started; each was taken from a budget.
	retries int64
}

// New returns a controller without requests.
func New(o Options) *Controller {
	if o.TicketWindow == 0 {
		o.TicketWindow = defaultTicketWindow
	}
	return &Controller{
		o:        o,
		requests: make(map[string]*pending),
		queues:   make(map[group][]*pending),
		budgets:  make(map[group]*budget.Budget),
		drains:   make(map[group]*drain),
		outliers: make(map[string]*outlier),
	}
}

// Submit takes a new request. Its errors are of type *NotRunError.
func (c *Controller) Submit(now clock.Millis, r Request) ([]Action, error) {
	s, err := c.admit(now, r)
	if err != nil {
		return nil, err
	}
	g := group{team: r.Team, service: r.Service}
	p := &pending{r: r, arrived: now}
	c.requests[r.ID] = p
	c.queues[g] = append(c.queues[g], p)
	c.budget(g, s).FirstTry()
	return c.leaveWindow(now, g), nil
}

// Offer takes an agent's offer: the first one for a waiting request binds it.
func (c *Controller) Offer(now clock.Millis, server string, o ticket.Offer) []Action {
	p, ok := c.requests[o.Request]
	if !ok || p.bound != "" || o.Attempt != p.attempt+1 || now >= p.r.Deadline {
		return []Action{Decline{Server: server, Offer: o.ID}}
	}
	out := c.withdrawAll(p, server)
	c.dequeue(p)
	c.drain(p.group()).left(now)
	c.o.Invariants.Checkf(p.r.Repeatable || p.tries == 0, "at_most_once",
		"request %s is bound again after it may have started", p.r.ID)
	p.attempt++
	p.bound = server
	out = append(out, Bind{Server: server, Offer: o.ID, Request: o.Request, Attempt: o.Attempt})
	return append(out, c.leaveWindow(now, p.group())...)
}

// Free tells that an agent has n slots that no ticket fills, and leaves tickets with it.
func (c *Controller) Free(now clock.Millis, server string, n int) []Action {
	peer, ok := c.o.Board.Peer(server)
	if !ok || peer.State != board.Ready || !c.usable(now, peer) {
		return nil
	}
	var out []Action
	for _, p := range c.oldest(peer.Service) {
		if len(out) >= n {
			break
		}
		if !p.hasTicket(server) && now >= p.pausedUntil {
			out = append(out, c.leave(now, p, server))
		}
	}
	return out
}

// AgentLost drops the tickets that a lost or restarted agent held and leaves them elsewhere.
func (c *Controller) AgentLost(now clock.Millis, server string) []Action {
	groups := make(map[group]bool)
	for _, p := range c.requests {
		if p.hasTicket(server) {
			p.dropTicket(server)
			groups[p.group()] = true
		}
	}
	return c.leaveGroups(now, groups)
}

// TicketRefused records that an agent did not take a request's ticket. It is left again after a pause.
func (c *Controller) TicketRefused(now clock.Millis, server, id string) {
	p, ok := c.requests[id]
	if !ok || !p.hasTicket(server) {
		return
	}
	p.dropTicket(server)
	if len(p.tickets) == 0 {
		p.pause(now)
	}
}

// AgentReady leaves waiting requests' tickets with an agent that begins to take work.
func (c *Controller) AgentReady(now clock.Millis, server string) []Action {
	peer, ok := c.o.Board.Peer(server)
	if !ok {
		return nil
	}
	groups := make(map[group]bool)
	for g := range c.queues {
		if g.service == peer.Service {
			groups[g] = true
		}
	}
	return c.leaveGroups(now, groups)
}

// AttemptEnded takes the result of a bound attempt and either ends the request or lets it wait again.
func (c *Controller) AttemptEnded(now clock.Millis, id string, attempt int, res Result) []Action {
	p, ok := c.requests[id]
	if !ok || p.bound == "" || p.attempt != attempt {
		return nil
	}
	p.delivered = max(p.delivered, res.Delivered)
	if res.Outcome == outcome.NotRun {
		p.notRun++
	} else {
		p.tries++
	}
	c.judge(now, p.bound, res, p.aborted)
	if !c.mayRetry(now, p, res) {
		return c.finish(now, p, c.final(p, res))
	}
	p.avoid = p.bound
	p.bound = ""
	p.aborted = false
	p.renewal = 0
	if res.Outcome == outcome.NotRun {
		p.pause(now)
	}
	g := p.group()
	c.queues[g] = insertByArrival(c.queues[g], p)
	return c.leaveWindow(now, g)
}

// Cancel ends a request whose caller went away. A running attempt goes on until its own end is reported.
func (c *Controller) Cancel(now clock.Millis, id string) []Action {
	p, ok := c.requests[id]
	if !ok || p.bound != "" {
		return nil
	}
	return c.finish(now, p, Finish{Outcome: outcome.NotRun, Reason: "caller_gone"})
}

// Tick ends waiting requests whose deadline has passed, aborts running ones and renews tickets.
func (c *Controller) Tick(now clock.Millis) []Action {
	var out []Action
	for _, id := range c.overdue(now) {
		p := c.requests[id]
		if p.bound == "" {
			out = append(out, c.finish(now, p, c.waitingEnd(p))...)
			continue
		}
		if !p.aborted {
			p.aborted = true
			out = append(out, Abort{Request: id, Reason: "deadline"})
		}
	}
	return append(out, c.renew(now)...)
}

// Waiting returns how many requests wait, and of how many groups.
func (c *Controller) Waiting() (requests, groups int) {
	for _, q := range c.queues {
		requests += len(q)
	}
	return requests, len(c.queues)
}

// Len returns how many requests have not ended.
func (c *Controller) Len() int { return len(c.requests) }

// Retries returns how many attempts were made after one that may have started.
func (c *Controller) Retries() int64 { return c.retries }

// admit checks that a request may wait here.
func (c *Controller) admit(now clock.Millis, r Request) (service.Service, error) {
	st := c.o.Board.Site()
	if st == nil {
		return service.Service{}, &NotRunError{Reason: "no_configuration", RetryAfter: clock.Second}
	}
	s, ok := st.Service(r.Service)
	if !ok {
		return service.Service{}, &NotRunError{Reason: "service_unknown", RetryAfter: clock.Second}
	}
	if c.poison(now, r) {
		return service.Service{}, &NotRunError{
			Reason: reasonPoison, RetryAfter: c.o.Suspects.Remaining(now, r.Fingerprint),
		}
	}
	g := group{team: r.Team, service: r.Service}
	if len(c.queues[g]) >= s.QueueLimit() {
		return service.Service{}, &NotRunError{Reason: "queue_full", RetryAfter: c.retryAfter(now, g)}
	}
	return s, nil
}

func (c *Controller) budget(g group, s service.Service) *budget.Budget {
	b, ok := c.budgets[g]
	if !ok {
		b = budget.New(s.Retry().BudgetPercent(), budgetBurst)
		c.budgets[g] = b
	}
	return b
}

func (c *Controller) dequeue(p *pending) {
	g := p.group()
	q := slices.DeleteFunc(c.queues[g], func(v *pending) bool { return v == p })
	if len(q) == 0 {
		delete(c.queues, g)
		return
	}
	c.queues[g] = q
}

func (p *pending) group() group { return group{team: p.r.Team, service: p.r.Service} }

func (p *pending) hasTicket(server string) bool { return slices.Contains(p.tickets, server) }

func (p *pending) dropTicket(server string) {
	p.tickets = slices.DeleteFunc(p.tickets, func(s string) bool { return s == server })
}
