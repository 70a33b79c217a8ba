package admission

import (
	"github.com/laburnumring/laburnumring/internal/suspect"
	"github.com/laburnumring/laburnumring/pkg/clock"
)

// Bounds of the turns of suspected requests.
const (
	// reserveLife is how long free slots are not filled, so that the server empties for a suspected request.
	reserveLife = 1 * clock.Second
	// othersShare is how many times as long as a suspected request's turn that of the others is.
	othersShare = 4
)

// loneTurn is the state of the turns between suspected requests, which run alone, and all others.
type loneTurn struct {
	// running is the live offer that has the server to itself, or nil.
	running *offer
	// reservedUntil is when the others' turn comes at the latest; 0 when nothing is reserved.
	reservedUntil clock.Millis
	// began is when the present or last turn of a suspected request began.
	began clock.Millis
	// notBefore is when slots may be reserved again.
	notBefore clock.Millis
}

// SuspectsChanged drops the tickets of requests that are refused by now.
func (c *Controller) SuspectsChanged(now clock.Millis) {
	for _, w := range c.byRef {
		if c.kind(now, w) == suspect.Confirmed {
			c.remove(w)
		}
	}
}

// Alone reports whether a started offer had the server to itself from start to now.
func (c *Controller) Alone(id string) bool {
	o, ok := c.offers[id]
	return ok && o.alone
}

func (c *Controller) kind(now clock.Millis, w *waiting) suspect.Kind {
	return c.o.Suspects.Kind(now, w.t.Fingerprint)
}

// noteFlag takes over the suspicion that a router's ticket carries, unless more is known here.
func (c *Controller) noteFlag(now clock.Millis, fingerprint uint64, suspected bool) {
	if suspected && c.o.Suspects.Kind(now, fingerprint) == 0 {
		c.o.Suspects.MarkSuspected(now, fingerprint)
	}
}

// pick returns the ticket to serve next, and whether it must have the server to itself; nil when the free slots
// are to stay free.
func (c *Controller) pick(now clock.Millis) (*waiting, bool) {
	if c.lone.running != nil {
		return nil, false
	}
	w := c.oldestSuspect(now)
	if w == nil {
		c.lone.reservedUntil = 0
		return c.next(now), false
	}
	if c.lone.reservedUntil == 0 {
		c.lone.began = now
	}
	if now < c.lone.notBefore {
		return c.others(now, w)
	}
	if c.inUse == 0 {
		return w, true
	}
	if c.lone.reservedUntil == 0 {
		c.lone.reservedUntil = now + reserveLife
	}
	if now < c.lone.reservedUntil {
		return nil, false
	}
	c.passTurn(now)
	return c.others(now, w)
}

// others serves other requests while it is their turn, and the suspected w when there are none.
func (c *Controller) others(now clock.Millis, w *waiting) (*waiting, bool) {
	if v := c.next(now); v != nil {
		return v, false
	}
	if c.inUse == 0 {
		return w, true
	}
	return nil, false
}

func (c *Controller) passTurn(now clock.Millis) {
	c.lone.reservedUntil = 0
	c.lone.notBefore = now + othersShare*(now-c.lone.began)
}

// oldestSuspect returns the oldest ticket of a suspected request, or nil.
func (c *Controller) oldestSuspect(now clock.Millis) *waiting {
	if !c.o.Suspects.HasSuspects() {
		return nil
	}
	var out *waiting
	for _, w := range c.byRef {
		if c.kind(now, w) != suspect.Suspected || w.t.Keyed && c.keyedHeld {
			continue
		}
		if out == nil || w.since < out.since || w.since == out.since && w.t.Request < out.t.Request {
			out = w
		}
	}
	return out
}

// checkStart refuses the start of a request that came under suspicion since its offer.
func (c *Controller) checkStart(now clock.Millis, o *offer) error {
	kind := c.o.Suspects.Kind(now, o.t.Fingerprint)
	refused := &RefusedError{Offer: o.message.ID, State: Withdrawn}
	switch {
	case kind == suspect.Confirmed:
		refused.Reason = ReasonPoison
	case kind == suspect.Suspected && !o.alone && c.inUse > 1:
		refused.Reason = "must_run_alone"
	default:
		if kind == suspect.Suspected && !o.alone {
			o.alone = true
			c.lone.running = o
		}
		return nil
	}
	c.release(now, o, Withdrawn)
	return refused
}

// ReasonPoison is the reason of a refusal because the request has taken servers down.
const ReasonPoison = "poison"
