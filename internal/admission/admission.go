// Package admission decides, for one backend server, which waiting request starts next and lets each start
// at most once.
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

// State is how far an offer has come. It only moves forward.
type State int

// The states of an offer.
const (
	// Offered means that a slot is held and the router has not answered.
	Offered State = iota + 1
	// Accepted means that the router sent the request and it has not started.
	Accepted
	// Started means that the request was given to the backend server, or is about to be.
	Started
	// Withdrawn means that the request has not started here and never will under this offer.
	Withdrawn
	// Ended means that the run is over.
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
	// Incarnation is unique to this run of the agent; it begins every offer's id.
	Incarnation string
	// Slots is the most requests inside the backend server at once.
	Slots int
	// Order decides whose request is next.
	Order laburnumring.TeamOrder
	// Costs predicts what a request costs; hints are taken as they are when nil.
	Costs *cost.Estimator
	// OfferLife is how long a slot is held for a router's answer.
	OfferLife clock.Millis
	// EndedLife is how long the end of an offer is remembered.
	EndedLife clock.Millis
	// TicketLimit is the most tickets of one team.
	TicketLimit int
	// Suspects knows the requests that run alone or not at all; nil for none.
	Suspects *suspect.List
	// Invariants takes violations; the zero value panics.
	Invariants invariant.Checker
}

// Defaults of Options.
const (
	defaultOfferLife   = 1 * clock.Second
	defaultEndedLife   = 2 * clock.Minute
	defaultTicketLimit = 1024
)

// offer is one slot held for one request, or the memory of it.
type offer struct {
	message ticket.Offer
	t       ticket.Ticket
	// state only moves forward.
	state State
	// changed is when state last moved.
	changed clock.Millis
	// deadline is the request's deadline by this clock.
	deadline clock.Millis
	// charged is what the team was charged so far and expected what is still to come, in service units.
	charged  int64
	expected int64
	// alone says that nothing else is inside the server while the offer holds its slot.
	alone bool
}

// Controller keeps one agent's tickets and offers. It is used by one goroutine at a time.
type Controller struct {
	o Options
	// queues holds each team's tickets, oldest first; no queue is empty.
	queues map[string][]*waiting
	// byRef finds a ticket in its queue.
	byRef map[ticket.Ref]*waiting
	// offers holds live offers and, for a time, ended ones.
	offers map[string]*offer
	// ended holds the offers without a slot in the order of their ends.
	ended []*offer
	// live holds the offers that hold a slot, by request; no list is empty.
	live map[ticket.Ref][]*offer
	// inUse is the number of offers that hold a slot; it never passes the limit at the time of offering.
	inUse int
	// limit is the current most requests inside the backend server; at least 1.
	limit int
	// draining means that nothing is offered any more.
	draining bool
	// serverDown means that the backend server does not answer.
	serverDown bool
	// keyedHeld means that keyed tickets are passed over.
	keyedHeld bool
	// evicted holds what Evicted has not returned.
	evicted []ticket.Ref
	// lone keeps the turns of suspected requests.
	lone loneTurn
	// count numbers the offers.
	count int64
}

// New returns a controller without tickets.
func New(o Options) *Controller {
	if o.OfferLife == 0 {
		o.OfferLife = defaultOfferLife
	}
	if o.EndedLife == 0 {
		o.EndedLife = defaultEndedLife
	}
	if o.TicketLimit == 0 {
		o.TicketLimit = defaultTicketLimit
	}
	return &Controller{
		o:      o,
		queues: make(map[string][]*waiting),
		byRef:  make(map[ticket.Ref]*waiting),
		offers: make(map[string]*offer),
		live:   make(map[ticket.Ref][]*offer),
		limit:  o.Slots,
	}
}

func (c *Controller) hasLive(ref ticket.Ref, attempt int) bool {
	return slices.ContainsFunc(c.live[ref], func(o *offer) bool { return o.message.Attempt == attempt })
}

// WithdrawOffer ends an offer that has not started and returns the state that it is in afterwards. An offer
// that is not known here returns 0: nothing can be said of it.
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

// RouterOf returns the router to which an offer was made; empty when the offer is not known here.
func (c *Controller) RouterOf(id string) string {
	if o, ok := c.offers[id]; ok {
		return o.message.Router
	}
	return ""
}

// DropRouter forgets the tickets and the unanswered offers of a router that went away.
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

// Fill offers free slots to waiting requests in the order of the teams' shares.
func (c *Controller) Fill(now clock.Millis) []ticket.Offer {
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

// Tick drops what has expired.
func (c *Controller) Tick(now clock.Millis) {
	for _, w := range c.byRef {
		if now >= w.deadline {
			c.remove(w)
		}
	}
	for _, o := range c.expired(now) {
		c.release(now, o, Withdrawn)
	}
	n := 0
	for n < len(c.ended) && now-c.ended[n].changed >= c.o.EndedLife {
		delete(c.offers, c.ended[n].message.ID)
		n++
	}
	clear(c.ended[:n])
	c.ended = c.ended[n:]
}

// expired returns the offers that no router answered in time.
func (c *Controller) expired(now clock.Millis) []*offer {
	var out []*offer
	for _, l := range c.live {
		for _, o := range l {
			if o.state == Offered && now-o.changed >= c.o.OfferLife {
				out = append(out, o)
			}
		}
	}
	return out
}

// Drain stops offers and forgets all tickets. Requests that were offered may still start.
func (c *Controller) Drain() {
	c.draining = true
	c.queues = make(map[string][]*waiting)
	c.byRef = make(map[ticket.Ref]*waiting)
}

// SetServerUp tells whether the backend server answers.
func (c *Controller) SetServerUp(up bool) { c.serverDown = !up }

// Limit returns the most requests that may be inside the backend server now, at most its slots.
func (c *Controller) Limit() int { return c.limit }

// SetLimit changes the most requests inside the backend server. Running ones are not touched.
func (c *Controller) SetLimit(n int) { c.limit = max(1, min(n, c.o.Slots)) }

// Free returns how many slots may be offered now.
func (c *Controller) Free() int {
	if c.draining || c.serverDown || c.lone.running != nil {
		return 0
	}
	return max(0, c.limit-c.inUse)
}

// InUse returns how many slots are held.
func (c *Controller) InUse() int { return c.inUse }

// Waiting returns how many tickets are held.
func (c *Controller) Waiting() int { return len(c.byRef) }

// Draining reports whether the agent offers nothing any more.
func (c *Controller) Draining() bool { return c.draining }

// next returns the ticket to serve now, or nil.
func (c *Controller) next(now clock.Millis) *waiting {
	candidates := c.candidates(now)
	if len(candidates) == 0 {
		return nil
	}
	i := c.o.Order.Next(now, candidates)
	return c.first(now, c.queues[candidates[i].Team])
}

func (c *Controller) candidates(now clock.Millis) []laburnumring.Candidate {
	out := make([]laburnumring.Candidate, 0, len(c.queues))
	for name, q := range c.queues {
		if w := c.first(now, q); w != nil {
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

func (c *Controller) offer(now clock.Millis, w *waiting, alone bool) ticket.Offer {
	c.remove(w)
	c.count++
	o := &offer{
		message: ticket.Offer{
			ID:      fmt.Sprintf("%s.%d", c.o.Incarnation, c.count),
			Router:  w.ref.Router,
			Request: w.t.Request,
			Attempt: w.t.Attempt,
		},
		t:        w.t,
		state:    Offered,
		changed:  now,
		deadline: w.deadline,
		expected: c.expect(w.t),
		alone:    alone,
	}
	if alone {
		c.lone.running = o
	}
	c.offers[o.message.ID] = o
	c.live[w.ref] = append(c.live[w.ref], o)
	c.inUse++
	c.o.Invariants.Checkf(c.inUse <= c.limit, "slots", "%d slots in use of %d", c.inUse, c.limit)
	c.o.Order.Expect(o.t.Team, o.expected)
	return o.message
}
