package admission

import (
	"github.com/laburnumring/laburnumring/internal/suspect"
	"github.com/laburnumring/laburnumring/pkg/clock"
)

// HoldKeyed tells whether tickets of keyed requests are passed over. Those behind them in a team's queue are
// not held up.
func (c *Controller) HoldKeyed(held bool) { c.keyedHeld = held }

// first returns the oldest ticket of a team's queue that may be offered beside others now, or nil.
func (c *Controller) first(now clock.Millis, q []*waiting) *waiting {
	watching := c.o.Suspects.HasSuspects()
	for _, w := range q {
		if w.t.Keyed && c.keyedHeld {
			continue
		}
		if watching && c.kind(now, w) >= suspect.Suspected {
			continue
		}
		return w
	}
	return nil
}
