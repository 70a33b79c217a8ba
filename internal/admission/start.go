package admission

import (
	"slices"

	"github.com/laburnumring/laburnumring/internal/ticket"
	"github.com/laburnumring/laburnumring/pkg/clock"
)

// Accept records that the router has sent the request of an offer. Its errors are of type *RefusedError.
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
	if now-o.stateSince >= c.opts.OfferTTL {
		c.release(now, o, Withdrawn)
		return &RefusedError{Offer: s.Offer, State: Withdrawn, Reason: "offer_expired"}
	}
	o.deadline = min(o.deadline, now+s.Remaining)
	c.setState(now, o, Accepted)
	return nil
}

// Start lets an accepted request start, once. After an error the request has not started and never will under this
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
	if err := c.checkSuspect(now, o); err != nil {
		return err
	}
	c.opts.Invariants.Checkf(c.isolation.isolated == nil || c.isolation.isolated == o && c.inUse == 1, "suspect_alone",
		"offer %s starts while a suspected request must run isolated", id)
	c.setState(now, o, Started)
	return nil
}

// Charge sets the service of a started offer to total units and charges its team for the increase.
func (c *Controller) Charge(id string, total int64) {
	o, ok := c.offers[id]
	if !ok || total <= o.charged {
		return
	}
	c.chargeUpTo(o, total)
}

// End frees the slot of a started offer whose request received total units of service.
func (c *Controller) End(now clock.Millis, id string, total int64) {
	o, ok := c.offers[id]
	if !ok || o.state != Started {
		return
	}
	if total > o.charged {
		c.chargeUpTo(o, total)
	}
	c.learnCost(o.ticket, total)
	c.release(now, o, Ended)
}

func (c *Controller) setState(now clock.Millis, o *offer, s State) {
	c.opts.Invariants.Checkf(s > o.state, "offer_moves_forward",
		"offer %s moved from %v to %v", o.message.ID, o.state, s)
	o.state = s
	o.stateSince = now
}

// release frees the offer's slot. The team is no longer expected to be charged for it.
func (c *Controller) release(now clock.Millis, o *offer, s State) {
	c.setState(now, o, s)
	c.inUse--
	c.removeLive(o)
	c.ended = append(c.ended, o)
	if c.isolation.isolated == o {
		c.isolation.isolated = nil
		c.endTurn(now)
	}
	c.opts.Order.Expect(o.ticket.Team, -o.stillExpected)
	o.stillExpected = 0
}

func (c *Controller) removeLive(o *offer) {
	ref := ticket.Ref{Router: o.message.Router, Request: o.message.Request}
	l := slices.DeleteFunc(c.liveByRef[ref], func(v *offer) bool { return v == o })
	if len(l) == 0 {
		delete(c.liveByRef, ref)
		return
	}
	c.liveByRef[ref] = l
}
