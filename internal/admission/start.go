package admission

import (
	"slices"

	"github.com/laburnumring/laburnumring/internal/ticket"
	"github.com/laburnumring/laburnumring/pkg/clock"
)

// Accept records that the router sent the request of an offer. Its errors are of type *RefusedError.
func (c *Controller) Accept(now clock.Millis, s ticket.Start) error {
	o, ok := c.offers[s.Offer]
	if !ok {
		return &RefusedError{Offer: s.Offer, Reason: "offer_unknown"}
	}
	if o.message.Request != s.Request || o.message.Attempt != s.Attempt || o.message.Router != s.Router {
		return &RefusedError{Offer: s.Offer, State: o.state, Reason: "offer_of_another_request"}
	}
	if o.state != Offered {
		return &RefusedError{Offer: s.Offer, State: o.state, Reason: "offer_used"}
	}
	if now-o.changed >= c.o.OfferLife {
		c.release(now, o, Withdrawn)
		return &RefusedError{Offer: s.Offer, State: Withdrawn, Reason: "offer_expired"}
	}
	o.deadline = min(o.deadline, now+s.Remaining)
	c.move(now, o, Accepted)
	return nil
}

// Start lets an accepted request start, once. After an error it has not started and never will under this
// offer. Its errors are of type *RefusedError.
func (c *Controller) Start(now clock.Millis, id string) error {
	o, ok := c.offers[id]
	if !ok {
		return &RefusedError{Offer: id, Reason: "offer_unknown"}
	}
	if o.state != Accepted {
		return &RefusedError{Offer: id, State: o.state, Reason: "offer_used"}
	}
	if now >= o.deadline {
		c.release(now, o, Withdrawn)
		return &RefusedError{Offer: id, State: Withdrawn, Reason: "deadline"}
	}
	if err := c.checkStart(now, o); err != nil {
		return err
	}
	c.o.Invariants.Checkf(c.lone.running == nil || c.lone.running == o && c.inUse == 1, "suspect_alone",
		"offer %s starts beside a suspected request", id)
	c.move(now, o, Started)
	return nil
}

// Charge adds units of service to the team of a started offer while it runs.
func (c *Controller) Charge(id string, total int64) {
	o, ok := c.offers[id]
	if !ok || total <= o.charged {
		return
	}
	c.settle(o, total)
}

// End frees the slot of a started offer and settles its charge at total units.
func (c *Controller) End(now clock.Millis, id string, total int64) {
	o, ok := c.offers[id]
	if !ok || o.state != Started {
		return
	}
	if total > o.charged {
		c.settle(o, total)
	}
	c.learn(o.t, total)
	c.release(now, o, Ended)
}

func (c *Controller) move(now clock.Millis, o *offer, s State) {
	c.o.Invariants.Checkf(s > o.state, "offer_moves_forward",
		"offer %s moved from %v to %v", o.message.ID, o.state, s)
	o.state = s
	o.changed = now
}

// release frees the offer's slot. Nothing more is expected of it.
func (c *Controller) release(now clock.Millis, o *offer, s State) {
	c.move(now, o, s)
	c.inUse--
	c.forgetLive(o)
	c.ended = append(c.ended, o)
	if c.lone.running == o {
		c.lone.running = nil
		c.passTurn(now)
	}
	c.o.Order.Expect(o.t.Team, -o.expected)
	o.expected = 0
}

func (c *Controller) forgetLive(o *offer) {
	ref := ticket.Ref{Router: o.message.Router, Request: o.message.Request}
	l := slices.DeleteFunc(c.live[ref], func(v *offer) bool { return v == o })
	if len(l) == 0 {
		delete(c.live, ref)
		return
	}
	c.live[ref] = l
}
