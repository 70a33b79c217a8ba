package admission

import (
	"slices"

	"github.com/laburnumring/laburnumring/internal/suspect"
	"github.com/laburnumring/laburnumring/internal/ticket"
	"github.com/laburnumring/laburnumring/pkg/clock"
)

// waiting is one ticket in a team's queue.
type waiting struct {
	ref ticket.Ref
	t   ticket.Ticket
	// since is when the request arrived at its router, by this clock.
	since clock.Millis
	// deadline is when the ticket is worthless, by this clock.
	deadline clock.Millis
}

// Leave adds a router's ticket, or renews it. A ticket whose offer is out already is not needed. It reports
// false when the team's queue is full, the request is poison or the agent is draining.
func (c *Controller) Leave(now clock.Millis, router string, t ticket.Ticket) bool {
	ref := ticket.Ref{Router: router, Request: t.Request}
	if c.hasLive(ref, t.Attempt) {
		return true
	}
	c.noteFlag(now, t.Fingerprint, t.Suspect)
	if w, ok := c.byRef[ref]; ok {
		w.t = t
		return true
	}
	if c.o.Suspects.Kind(now, t.Fingerprint) == suspect.Confirmed {
		return false
	}
	w := &waiting{ref: ref, t: t, since: now - t.Age, deadline: now + t.Remaining}
	if c.draining || !c.makeRoom(w) {
		return false
	}
	c.byRef[ref] = w
	c.queues[t.Team] = insert(c.queues[t.Team], w)
	return true
}

// makeRoom reports whether w's team may have another ticket. An older request takes the place of the youngest.
func (c *Controller) makeRoom(w *waiting) bool {
	q := c.queues[w.t.Team]
	if len(q) < c.o.TicketLimit {
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

// Evicted returns, once, the requests whose tickets gave way to older ones.
func (c *Controller) Evicted() []ticket.Ref {
	out := c.evicted
	c.evicted = nil
	return out
}

// insert keeps q sorted by age, oldest first.
func insert(q []*waiting, w *waiting) []*waiting {
	i := len(q)
	for i > 0 && q[i-1].since > w.since {
		i--
	}
	return slices.Insert(q, i, w)
}

// Withdraw takes a router's ticket back, and an offer for the request that the router has not accepted.
func (c *Controller) Withdraw(now clock.Millis, ref ticket.Ref) {
	if w, ok := c.byRef[ref]; ok {
		c.remove(w)
	}
	for _, o := range slices.Clone(c.live[ref]) {
		if o.state == Offered {
			c.release(now, o, Withdrawn)
		}
	}
}

func (c *Controller) remove(w *waiting) {
	delete(c.byRef, w.ref)
	q := c.queues[w.t.Team]
	q = slices.DeleteFunc(q, func(v *waiting) bool { return v == w })
	if len(q) == 0 {
		delete(c.queues, w.t.Team)
		return
	}
	c.queues[w.t.Team] = q
}
