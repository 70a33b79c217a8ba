package admission

import (
	"github.com/laburnumring/laburnumring/internal/suspect"
	"github.com/laburnumring/laburnumring/pkg/clock"
)

// HoldKeyed sets whether tickets of requests with an idempotency key are skipped. Tickets behind them in a team's
// queue may still be offered.
func (c *Controller) HoldKeyed(held bool) { c.keyedHeld = held }

// firstEligible returns the oldest ticket in a team's queue that may be offered now and may run together with other
// requests, or nil.
func (c *Controller) firstEligible(now clock.Millis, q []*queuedTicket) *queuedTicket {
	watching := c.opts.Suspects.HasSuspects()
	for _, w := range q {
		if w.ticket.Keyed && c.keyedHeld {
			continue
		}
		if watching && c.kind(now, w) >= suspect.Suspected {
			continue
		}
		return w
	}
	return nil
}
