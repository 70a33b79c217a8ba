package admission

import (
	"slices"

	"github.com/laburnumring/laburnumring/internal/suspect"
	"github.com/laburnumring/laburnumring/internal/ticket"
	"github.com/laburnumring/laburnumring/pkg/clock"
)

// queuedTicket is a ticket in its team's queue.
type queuedTicket struct {
	ref    ticket.Ref
	ticket ticket.Ticket
	// since is when the request arrived at its router, by the agent's clock.
	since clock.Millis
	// deadline is the request's deadline, by the agent's clock.
	deadline clock.Millis
}

// AddTicket adds a router's ticket or renews it. A ticket for an attempt with an offer is ignored. It returns false
// when the team's queue is full, the request is confirmed to crash servers or the agent is draining.
func (c *Controller) AddTicket(now clock.Millis, router string, t ticket.Ticket) bool {
	ref := ticket.Ref{Router: router, Request: t.Request}
	if c.hasLive(ref, t.Attempt) {
		return true
	}
	c.adoptSuspicion(now, t.Fingerprint, t.Suspect)
	if w, ok := c.byRef[ref]; ok {
		w.ticket = t
		return true
	}
	if c.opts.Suspects.Kind(now, t.Fingerprint) == suspect.Confirmed {
		return false
	}
	w := &queuedTicket{ref: ref, ticket: t, since: now - t.Age, deadline: now + t.Remaining}
	if c.draining || !c.ensureCapacity(w) {
		return false
	}
	c.byRef[ref] = w
	c.queues[t.Team] = insert(c.queues[t.Team], w)
	return true
}

// ensureCapacity reports whether w's team may have another ticket. When the queue is full, an older request evicts
// the youngest.
func (c *Controller) ensureCapacity(w *queuedTicket) bool {
	q := c.queues[w.ticket.Team]
	if len(q) < c.opts.TicketLimit {
		return true
	}
	youngest := q[len(q)-1]
	if youngest.since <= w.since {
		return false
	}
	c.remove(youngest)
	c.evicted = append(c.evicted, youngest.ref)
	return true
}

// Evicted returns the requests whose tickets older ones have evicted since the last call.
func (c *Controller) Evicted() []ticket.Ref {
	out := c.evicted
	c.evicted = nil
	return out
}

// insert inserts w into q, which is sorted by age, oldest first.
func insert(q []*queuedTicket, w *queuedTicket) []*queuedTicket {
	i := len(q)
	for i > 0 && q[i-1].since > w.since {
		i--
	}
	return slices.Insert(q, i, w)
}

// WithdrawTicket removes a router's ticket, and withdraws an offer for the request that the router has not accepted.
func (c *Controller) WithdrawTicket(now clock.Millis, ref ticket.Ref) {
	if w, ok := c.byRef[ref]; ok {
		c.remove(w)
	}
	for _, o := range slices.Clone(c.liveByRef[ref]) {
		if o.state == Offered {
			c.release(now, o, Withdrawn)
		}
	}
}

func (c *Controller) remove(w *queuedTicket) {
	delete(c.byRef, w.ref)
	q := c.queues[w.ticket.Team]
	q = slices.DeleteFunc(q, func(v *queuedTicket) bool { return v == w })
	if len(q) == 0 {
		delete(c.queues, w.ticket.Team)
		return
	}
	c.queues[w.ticket.Team] = q
}
