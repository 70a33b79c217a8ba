// Package dispatch is the part of a router that finds an agent for each request, retries it where that is safe, and
// ends it.
//
// A router sends a ticket for a waiting request to a few agents. An agent with a free slot answers with an offer, and
// the first offer binds the request to that agent; the other tickets are withdrawn. The controller does no I/O: it
// returns the actions that the router then carries out.
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
	// Board holds the configuration and the states of the agents.
	Board *board.Board
	// Placement chooses the agents that receive a request's tickets.
	Placement laburnumring.Placement
	// TicketWindow is the largest number of waiting requests of one team and service that have tickets at agents, the
	// oldest first; 64 when zero.
	TicketWindow int
	// Suspects holds the requests that are suspected to crash servers, which run isolated or are refused; nil for
	// none.
	Suspects *suspect.List
	// Invariants receives violations; the zero value panics.
	Invariants invariant.Checker
}

// Limits and defaults.
const (
	defaultTicketWindow = 64
	minRetryAfter       = 200 * clock.Millis(1)
	maxRetryAfter       = 30 * clock.Second
	// budgetBurst is the number of retries that a new retry budget allows.
	budgetBurst = 3
	// minRenewInterval and maxRenewInterval limit the time after which a waiting request's tickets are sent again.
	minRenewInterval = 1 * clock.Second
	maxRenewInterval = 8 * clock.Second
	// minPause and maxPause limit the time for which a request has no tickets after an agent refused its ticket, or
	// refused to start it.
	minPause = 10 * clock.Millis(1)
	maxPause = 1 * clock.Second
	// maxNotRunAttempts is how many attempts of one request may end without a start.
	maxNotRunAttempts = 16
)

// group identifies the requests of one team for one service.
type group struct {
	team    string
	service string
}

// pending is one request that has not ended.
type pending struct {
	req     Request
	arrived clock.Millis
	// attempt is the number of the last attempt; each binding to an agent starts a new one.
	attempt int
	// possibleStarts is the number of attempts that may have started; at most one unless the request is repeatable.
	possibleStarts int
	// delivered is how many bytes of the answer the caller has received.
	delivered int64
	// ticketServers names the servers whose agents hold a ticket; empty while bound.
	ticketServers []string
	// renewInterval is the time until the tickets are sent again; it doubles at each renewal.
	renewInterval clock.Millis
	// renewAt is when the tickets are sent again. No ticket is sent before pausedUntil.
	renewAt     clock.Millis
	pausedUntil clock.Millis
	// refusals is the number of attempts and tickets that agents refused, and notRunAttempts that of the attempts
	// only.
	refusals       int
	notRunAttempts int
	// lastFailedServer names the server of the last failed attempt.
	lastFailedServer string
	// boundServer names the server that runs the current attempt; empty while waiting.
	boundServer string
	// aborted is set once the router has been asked to stop the running attempt.
	aborted bool
}

// Controller tracks a router's requests from their arrival to their end. It is used by one goroutine at a time.
type Controller struct {
	opts Options
	// requests holds the requests that have not ended, by id.
	requests map[string]*pending
	// queues holds the waiting requests of each group, oldest first. Empty queues are removed.
	queues map[group][]*pending
	// budgets holds the retry budget of each group that has had a request.
	budgets map[group]*budget.Budget
	// departures holds the rate at which each group's requests were bound.
	departures map[group]*departureRate
	// outliers holds the servers whose last attempts failed.
	outliers map[string]*outlier
	// retries is the number of attempts that followed one that may have started. Each is charged to a retry budget.
	retries int64
}

// New returns a controller without requests.
func New(o Options) *Controller {
	if o.TicketWindow == 0 {
		o.TicketWindow = defaultTicketWindow
	}
	return &Controller{
		opts:       o,
		requests:   make(map[string]*pending),
		queues:     make(map[group][]*pending),
		budgets:    make(map[group]*budget.Budget),
		departures: make(map[group]*departureRate),
		outliers:   make(map[string]*outlier),
	}
}

// Submit adds a new request. Its errors are of type *NotRunError.
func (c *Controller) Submit(now clock.Millis, r Request) ([]Action, error) {
	s, err := c.admit(now, r)
	if err != nil {
		return nil, err
	}
	g := group{team: r.Team, service: r.Service}
	p := &pending{req: r, arrived: now}
	c.requests[r.ID] = p
	c.queues[g] = append(c.queues[g], p)
	c.retryBudget(g, s).FirstTry()
	return c.sendMissingTickets(now, g), nil
}

// Offer handles an agent's offer. The first offer for a waiting request binds it to the agent; others are declined.
func (c *Controller) Offer(now clock.Millis, server string, o ticket.Offer) []Action {
	p, ok := c.requests[o.Request]
	if !ok || p.boundServer != "" || o.Attempt != p.attempt+1 || now >= p.req.Deadline {
		return []Action{DeclineOffer{Server: server, Offer: o.ID}}
	}
	out := c.withdrawTickets(p, server)
	c.dequeue(p)
	c.departureRate(p.group()).add(now)
	c.opts.Invariants.Checkf(p.req.Repeatable || p.possibleStarts == 0, "at_most_once",
		"request %s is bound again although an earlier attempt may have started", p.req.ID)
	p.attempt++
	p.boundServer = server
	out = append(out, Bind{Server: server, Offer: o.ID, Request: o.Request, Attempt: o.Attempt})
	return append(out, c.sendMissingTickets(now, p.group())...)
}

// AgentIdle sends tickets to an agent that has n free slots and no tickets to fill them.
func (c *Controller) AgentIdle(now clock.Millis, server string, n int) []Action {
	peer, ok := c.opts.Board.Peer(server)
	if !ok || peer.State != board.Ready || !c.usable(now, peer) {
		return nil
	}
	var out []Action
	for _, p := range c.waitingInTurn(peer.Service) {
		if len(out) >= n {
			break
		}
		if !p.hasTicket(server) && now >= p.pausedUntil {
			out = append(out, c.sendTicket(now, p, server))
		}
	}
	return out
}

// AgentLost discards the tickets that a lost or restarted agent held and sends new ones to other agents.
func (c *Controller) AgentLost(now clock.Millis, server string) []Action {
	groups := make(map[group]bool)
	for _, p := range c.requests {
		if p.hasTicket(server) {
			p.forgetTicket(server)
			groups[p.group()] = true
		}
	}
	return c.sendGroupsTickets(now, groups)
}

// TicketRefused records that an agent refused a request's ticket. A request that has no other ticket gets new ones
// with the next Tick or, from its second refusal on, after a pause.
func (c *Controller) TicketRefused(now clock.Millis, server, id string) {
	p, ok := c.requests[id]
	if !ok || !p.hasTicket(server) {
		return
	}
	p.forgetTicket(server)
	if len(p.ticketServers) == 0 {
		p.pause(now)
	}
}

// AgentReady sends tickets of waiting requests that have none, since an agent has become ready.
func (c *Controller) AgentReady(now clock.Millis, server string) []Action {
	peer, ok := c.opts.Board.Peer(server)
	if !ok {
		return nil
	}
	groups := make(map[group]bool)
	for g := range c.queues {
		if g.service == peer.Service {
			groups[g] = true
		}
	}
	return c.sendGroupsTickets(now, groups)
}

// AttemptEnded handles the result of an attempt. It either ends the request or queues it for another attempt.
func (c *Controller) AttemptEnded(now clock.Millis, id string, attempt int, res Result) []Action {
	p, ok := c.requests[id]
	if !ok || p.boundServer == "" || p.attempt != attempt {
		return nil
	}
	p.delivered = max(p.delivered, res.Delivered)
	if res.Outcome == outcome.NotRun {
		p.notRunAttempts++
	} else {
		p.possibleStarts++
	}
	c.recordResult(now, p.boundServer, res, p.aborted)
	if !c.mayRetry(now, p, res) {
		return c.finish(now, p, c.requestEnd(p, res))
	}
	p.lastFailedServer = p.boundServer
	p.boundServer = ""
	p.aborted = false
	p.renewInterval = 0
	if res.Outcome == outcome.NotRun {
		p.pause(now)
	}
	g := p.group()
	c.queues[g] = insertByArrival(c.queues[g], p)
	return c.sendMissingTickets(now, g)
}

// Cancel ends a waiting request whose caller disconnected. A running attempt continues until its result is reported.
func (c *Controller) Cancel(now clock.Millis, id string) []Action {
	p, ok := c.requests[id]
	if !ok || p.boundServer != "" {
		return nil
	}
	return c.finish(now, p, Finish{Outcome: outcome.NotRun, Reason: "caller_gone"})
}

// Tick ends waiting requests whose deadline has passed, aborts running ones and renews tickets.
func (c *Controller) Tick(now clock.Millis) []Action {
	var out []Action
	for _, id := range c.pastDeadline(now) {
		p := c.requests[id]
		if p.boundServer == "" {
			out = append(out, c.finish(now, p, c.deadlineEnd(p))...)
			continue
		}
		if !p.aborted {
			p.aborted = true
			out = append(out, Abort{Request: id, Reason: "deadline"})
		}
	}
	return append(out, c.renewAll(now)...)
}

// Waiting returns the number of waiting requests, and that of the pairs of team and service that they belong to.
func (c *Controller) Waiting() (requests, groups int) {
	for _, q := range c.queues {
		requests += len(q)
	}
	return requests, len(c.queues)
}

// Len returns the number of requests that have not ended.
func (c *Controller) Len() int { return len(c.requests) }

// Retries returns the number of attempts that followed one that may have started.
func (c *Controller) Retries() int64 { return c.retries }

// admit checks whether a new request may be queued, and returns its service.
func (c *Controller) admit(now clock.Millis, r Request) (service.Service, error) {
	st := c.opts.Board.Site()
	if st == nil {
		return service.Service{}, &NotRunError{Reason: "no_configuration", RetryAfter: clock.Second}
	}
	s, ok := st.Service(r.Service)
	if !ok {
		return service.Service{}, &NotRunError{Reason: "service_unknown", RetryAfter: clock.Second}
	}
	if c.isPoison(now, r) {
		return service.Service{}, &NotRunError{
			Reason: reasonPoison, RetryAfter: c.opts.Suspects.Remaining(now, r.Fingerprint),
		}
	}
	g := group{team: r.Team, service: r.Service}
	if len(c.queues[g]) >= s.QueueLimit() {
		return service.Service{}, &NotRunError{Reason: "queue_full", RetryAfter: c.retryAfter(now, g)}
	}
	return s, nil
}

func (c *Controller) retryBudget(g group, s service.Service) *budget.Budget {
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

func (p *pending) group() group { return group{team: p.req.Team, service: p.req.Service} }

func (p *pending) hasTicket(server string) bool { return slices.Contains(p.ticketServers, server) }

func (p *pending) forgetTicket(server string) {
	p.ticketServers = slices.DeleteFunc(p.ticketServers, func(s string) bool { return s == server })
}
