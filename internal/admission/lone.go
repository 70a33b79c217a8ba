package admission

import (
	"github.com/laburnumring/laburnumring/internal/suspect"
	"github.com/laburnumring/laburnumring/pkg/clock"
)

// Limits for the turns of suspected requests.
const (
	// reserveTimeout is how long free slots may stay empty so that the server empties for a suspected request.
	reserveTimeout = 1 * clock.Second
	// othersTurnFactor is how many times as long as the last turn of a suspected request the following turn of all
	// others is.
	othersTurnFactor = 4
)

// isolationState holds the turns of suspected requests, which run isolated, and of all others.
type isolationState struct {
	// isolated is the offer that has the server to itself, or nil.
	isolated *offer
	// reservedUntil is when the reservation of free slots for a suspected request ends; 0 while there is none.
	reservedUntil clock.Millis
	// turnStart is when the current or last turn of a suspected request started.
	turnStart clock.Millis
	// nextReservation is when free slots may be reserved again.
	nextReservation clock.Millis
}

// SuspectsChanged removes the tickets of requests that are now confirmed to crash servers.
func (c *Controller) SuspectsChanged(now clock.Millis) {
	for _, w := range c.byRef {
		if c.kind(now, w) == suspect.Confirmed {
			c.remove(w)
		}
	}
}

// Isolated reports whether a started offer has had the server to itself since its start.
func (c *Controller) Isolated(id string) bool {
	o, ok := c.offers[id]
	return ok && o.isolated
}

// kind returns the kind of suspicion against a ticket's request.
func (c *Controller) kind(now clock.Millis, w *queuedTicket) suspect.Kind {
	return c.opts.Suspects.Kind(now, w.ticket.Fingerprint)
}

// adoptSuspicion records the suspicion that a router's ticket carries, unless the agent knows the request already.
func (c *Controller) adoptSuspicion(now clock.Millis, fingerprint uint64, suspected bool) {
	if suspected && c.opts.Suspects.Kind(now, fingerprint) == 0 {
		c.opts.Suspects.MarkSuspected(now, fingerprint)
	}
}

// pick returns the ticket to offer next, and whether it must have the server to itself. It returns nil when no ticket
// may be offered, or while free slots are reserved for a suspected request.
func (c *Controller) pick(now clock.Millis) (*queuedTicket, bool) {
	if c.isolation.isolated != nil {
		return nil, false
	}
	w := c.oldestSuspect(now)
	if w == nil {
		c.isolation.reservedUntil = 0
		return c.nextByOrder(now), false
	}
	if c.isolation.reservedUntil == 0 {
		c.isolation.turnStart = now
	}
	if now < c.isolation.nextReservation {
		return c.pickOther(now, w)
	}
	if c.inUse == 0 {
		return w, true
	}
	if c.isolation.reservedUntil == 0 {
		c.isolation.reservedUntil = now + reserveTimeout
	}
	if now < c.isolation.reservedUntil {
		return nil, false
	}
	c.endTurn(now)
	return c.pickOther(now, w)
}

// pickOther returns a ticket of another request if there is one. Otherwise it returns the suspected w if the server
// is empty.
func (c *Controller) pickOther(now clock.Millis, w *queuedTicket) (*queuedTicket, bool) {
	if v := c.nextByOrder(now); v != nil {
		return v, false
	}
	if c.inUse == 0 {
		return w, true
	}
	return nil, false
}

// endTurn ends the turn of a suspected request and starts that of the others.
func (c *Controller) endTurn(now clock.Millis) {
	c.isolation.reservedUntil = 0
	c.isolation.nextReservation = now + othersTurnFactor*(now-c.isolation.turnStart)
}

// oldestSuspect returns the oldest ticket of a suspected request that may be offered, or nil.
func (c *Controller) oldestSuspect(now clock.Millis) *queuedTicket {
	if !c.opts.Suspects.HasSuspects() {
		return nil
	}
	var out *queuedTicket
	for _, w := range c.byRef {
		if c.kind(now, w) != suspect.Suspected || w.ticket.Keyed && c.keyedHeld {
			continue
		}
		if out == nil || w.since < out.since || w.since == out.since && w.ticket.Request < out.ticket.Request {
			out = w
		}
	}
	return out
}

// checkSuspect refuses the start of a request that, since its offer, was confirmed to crash servers, or became
// suspected while other offers hold slots.
func (c *Controller) checkSuspect(now clock.Millis, o *offer) error {
	kind := c.opts.Suspects.Kind(now, o.ticket.Fingerprint)
	refused := &RefusedError{Offer: o.message.ID, State: Withdrawn}
	switch {
	case kind == suspect.Confirmed:
		refused.Reason = ReasonPoison
	case kind == suspect.Suspected && !o.isolated && c.inUse > 1:
		refused.Reason = "must_run_alone"
	default:
		if kind == suspect.Suspected && !o.isolated {
			o.isolated = true
			c.isolation.isolated = o
		}
		return nil
	}
	c.release(now, o, Withdrawn)
	return refused
}

// ReasonPoison is the reason for refusing a request that has crashed servers.
const ReasonPoison = "poison"
