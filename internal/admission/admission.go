// Package admission decides, in the agent of one backend server, which waiting request starts next, and ensures that
// an offer starts its request at most once.
//
// Routers send the agent tickets for waiting requests. When a slot of the server is free, the controller chooses a
// ticket and makes an offer to its router, which holds the slot until the router answers or the offer expires.
package admission

import (
	"fmt"
	"slices"

	"github.com/laburnumring/laburnumring"
	"github.com/laburnumring/laburnumring/internal/cost"
	"github.com/laburnumring/laburnumring/internal/invariant"
	"github.com/laburnumring/laburnumring/internal/suspect"
	"github.com/laburnumring/laburnumring/internal/ticket"
	"github.com/laburnumring/laburnumring/pkg/clock"
)

// State is the state of an offer. It only moves forward.
type State int

// The states of an offer.
const (
	// Offered means that the offer holds a slot and the router has not answered.
	Offered State = iota + 1
	// Accepted means that the router has sent the request, which has not started.
	Accepted
	// Started means that the request was sent to the backend server, or is about to be.
	Started
	// Withdrawn means that the request has not started under this offer and never will.
	Withdrawn
	// Ended means that the request has run and ended.
	Ended
)

// String implements fmt.Stringer.
func (s State) String() string {
	names := [...]string{"none", "offered", "accepted", "started", "withdrawn", "ended"}
	if s < 0 || int(s) >= len(names) {
		return fmt.Sprintf("state(%d)", int(s))
	}
	return names[s]
}

// Options are the settings of a Controller.
type Options struct {
	// Incarnation is unique to this run of the agent. It is the prefix of all offer ids.
	Incarnation string
	// Slots is the largest number of requests in the backend server at once.
	Slots int
	// Order decides which team is served next.
	Order laburnumring.TeamOrder
	// Costs predicts the cost of a request. When nil, the cost in the ticket is used.
	Costs *cost.Estimator
	// OfferTTL is how long an offer holds a slot until the router accepts it; 1 s when zero.
	OfferTTL clock.Millis
	// EndedTTL is how long an offer without a slot is remembered; 2 min when zero.
	EndedTTL clock.Millis
	// TicketLimit is the largest number of tickets of one team; 1024 when zero.
	TicketLimit int
	// Suspects holds the requests that are suspected to crash servers, which run isolated or are refused; nil for
	// none.
	Suspects *suspect.List
	// Invariants receives violations; the zero value panics.
	Invariants invariant.Checker
}

// Defaults of Options.
const (
	defaultOfferTTL    = 1 * clock.Second
	defaultEndedTTL    = 2 * clock.Minute
	defaultTicketLimit = 1024
)

// offer is an offer that holds a slot, or did so recently.
type offer struct {
	message ticket.Offer
	ticket  ticket.Ticket
	// state only moves forward.
	state State
	// stateSince is when state last changed.
	stateSince clock.Millis
	// deadline is the request's deadline by the agent's clock.
	deadline clock.Millis
	// charged is what the team has been charged so far, and stillExpected what the request is expected to cost beyond
	// that, in service units.
	charged       int64
	stillExpected int64
	// isolated is set when no other request may be in the server while the offer holds its slot.
	isolated bool
}

// Controller tracks one agent's tickets and offers. It is used by one goroutine at a time.
type Controller struct {
	opts Options
	// queues holds each team's tickets, oldest first. Empty queues are removed.
	queues map[string][]*queuedTicket
	// byRef holds the same tickets by router and request.
	byRef map[ticket.Ref]*queuedTicket
	// offers holds the offers with a slot and, for a time, those without one, by id.
	offers map[string]*offer
	// ended holds the offers without a slot in the order in which they lost it.
	ended []*offer
	// liveByRef holds the offers that hold a slot, by router and request. Empty lists are removed.
	liveByRef map[ticket.Ref][]*offer
	// inUse is the number of offers that hold a slot. A new offer never raises it above limit, but limit may fall
	// below it.
	inUse int
	// limit is the current limit of requests in the backend server; at least 1.
	limit int
	// draining is set once the agent makes no more offers.
	draining bool
	// serverDown is set while the backend server does not answer.
	serverDown bool
	// keyedHeld is set while tickets of requests with an idempotency key are skipped.
	keyedHeld bool
	// evicted holds the requests that the next call of Evicted returns.
	evicted []ticket.Ref
	// isolation holds the turns of suspected requests.
	isolation isolationState
	// offerCount is the number of offers made, which is part of their ids.
	offerCount int64
}

// New returns a controller without tickets.
func New(o Options) *Controller {
	if o.OfferTTL == 0 {
		o.OfferTTL = defaultOfferTTL
	}
	if o.EndedTTL == 0 {
		o.EndedTTL = defaultEndedTTL
	}
	if o.TicketLimit == 0 {
		o.TicketLimit = defaultTicketLimit
	}
	return &Controller{
		opts:      o,
		queues:    make(map[string][]*queuedTicket),
		byRef:     make(map[ticket.Ref]*queuedTicket),
		offers:    make(map[string]*offer),
		liveByRef: make(map[ticket.Ref][]*offer),
		limit:     o.Slots,
	}
}

// hasLive reports whether an offer for the attempt holds a slot.
func (c *Controller) hasLive(ref ticket.Ref, attempt int) bool {
	return slices.ContainsFunc(c.liveByRef[ref], func(o *offer) bool { return o.message.Attempt == attempt })
}

// WithdrawOffer withdraws an offer that has not started, and returns its state afterwards. It returns 0 for an
// unknown offer, whose request may or may not have run.
func (c *Controller) WithdrawOffer(now clock.Millis, id string) State {
	o, ok := c.offers[id]
	if !ok {
		return 0
	}
	if o.state == Offered || o.state == Accepted {
		c.release(now, o, Withdrawn)
	}
	return o.state
}

// RouterOf returns the name of the router that received an offer; empty for an unknown offer.
func (c *Controller) RouterOf(id string) string {
	if o, ok := c.offers[id]; ok {
		return o.message.Router
	}
	return ""
}

// DropRouter removes the tickets and the unanswered offers of a lost router.
func (c *Controller) DropRouter(now clock.Millis, router string) {
	for ref, w := range c.byRef {
		if ref.Router == router {
			c.remove(w)
		}
	}
	for _, o := range c.offers {
		if o.message.Router == router && o.state == Offered {
			c.release(now, o, Withdrawn)
		}
	}
}

// MakeOffers makes offers for the free slots and returns them. The order of teams decides which tickets are offered.
func (c *Controller) MakeOffers(now clock.Millis) []ticket.Offer {
	var out []ticket.Offer
	for c.Free() > 0 {
		w, alone := c.pick(now)
		if w == nil {
			return out
		}
		out = append(out, c.offer(now, w, alone))
	}
	return out
}

// Tick removes expired tickets and offers.
func (c *Controller) Tick(now clock.Millis) {
	for _, w := range c.byRef {
		if now >= w.deadline {
			c.remove(w)
		}
	}
	for _, o := range c.unansweredOffers(now) {
		c.release(now, o, Withdrawn)
	}
	n := 0
	for n < len(c.ended) && now-c.ended[n].stateSince >= c.opts.EndedTTL {
		delete(c.offers, c.ended[n].message.ID)
		n++
	}
	clear(c.ended[:n])
	c.ended = c.ended[n:]
}

// unansweredOffers returns the offers that no router accepted in time.
func (c *Controller) unansweredOffers(now clock.Millis) []*offer {
	var out []*offer
	for _, l := range c.liveByRef {
		for _, o := range l {
			if o.state == Offered && now-o.stateSince >= c.opts.OfferTTL {
				out = append(out, o)
			}
		}
	}
	return out
}

// Drain stops offers and removes all tickets. Requests with an offer may still start.
func (c *Controller) Drain() {
	c.draining = true
	c.queues = make(map[string][]*queuedTicket)
	c.byRef = make(map[ticket.Ref]*queuedTicket)
}

// SetServerUp records whether the backend server answers.
func (c *Controller) SetServerUp(up bool) { c.serverDown = !up }

// Limit returns the current limit of requests in the backend server, which is at most the number of slots.
func (c *Controller) Limit() int { return c.limit }

// SetLimit changes the limit of requests in the backend server. Running requests continue even above it.
func (c *Controller) SetLimit(n int) { c.limit = max(1, min(n, c.opts.Slots)) }

// Free returns the number of slots that may be offered now.
func (c *Controller) Free() int {
	if c.draining || c.serverDown || c.isolation.isolated != nil {
		return 0
	}
	return max(0, c.limit-c.inUse)
}

// InUse returns the number of slots that offers hold.
func (c *Controller) InUse() int { return c.inUse }

// Waiting returns the number of tickets.
func (c *Controller) Waiting() int { return len(c.byRef) }

// Draining reports whether the agent makes no more offers.
func (c *Controller) Draining() bool { return c.draining }

// nextByOrder returns the ticket that the order of teams puts first, or nil if none may be offered.
func (c *Controller) nextByOrder(now clock.Millis) *queuedTicket {
	candidates := c.candidates(now)
	if len(candidates) == 0 {
		return nil
	}
	i := c.opts.Order.Next(now, candidates)
	return c.firstEligible(now, c.queues[candidates[i].Team])
}

// candidates returns the teams with a ticket that may be offered, sorted by name.
func (c *Controller) candidates(now clock.Millis) []laburnumring.Candidate {
	out := make([]laburnumring.Candidate, 0, len(c.queues))
	for name, q := range c.queues {
		if w := c.firstEligible(now, q); w != nil {
			out = append(out, laburnumring.Candidate{Team: name, Since: w.since})
		}
	}
	slices.SortFunc(out, func(a, b laburnumring.Candidate) int {
		if a.Team < b.Team {
			return -1
		}
		return 1
	})
	return out
}

// offer replaces a ticket by an offer that holds a slot.
func (c *Controller) offer(now clock.Millis, w *queuedTicket, alone bool) ticket.Offer {
	c.remove(w)
	c.offerCount++
	o := &offer{
		message: ticket.Offer{
			ID:      fmt.Sprintf("%s.%d", c.opts.Incarnation, c.offerCount),
			Router:  w.ref.Router,
			Request: w.ticket.Request,
			Attempt: w.ticket.Attempt,
		},
		ticket:        w.ticket,
		state:         Offered,
		stateSince:    now,
		deadline:      w.deadline,
		stillExpected: c.expectedCost(w.ticket),
		isolated:      alone,
	}
	if alone {
		c.isolation.isolated = o
	}
	c.offers[o.message.ID] = o
	c.liveByRef[w.ref] = append(c.liveByRef[w.ref], o)
	c.inUse++
	c.opts.Invariants.Checkf(c.inUse <= c.limit, "slots", "%d slots in use of %d", c.inUse, c.limit)
	c.opts.Order.Expect(o.ticket.Team, o.stillExpected)
	return o.message
}
