package dispatch

import (
	"slices"

	"github.com/laburnumring/laburnumring/internal/suspect"
	"github.com/laburnumring/laburnumring/pkg/clock"
	"github.com/laburnumring/laburnumring/pkg/outcome"
)

// reasonPoison is the reason of a refusal because the request has taken servers down.
const reasonPoison = "poison"

// SuspectsChanged ends the waiting requests that are refused by now.
func (c *Controller) SuspectsChanged(now clock.Millis, fingerprint uint64) []Action {
	var poisoned []string
	for id, p := range c.requests {
		if p.r.Fingerprint == fingerprint && p.bound == "" && c.poison(now, p.r) {
			poisoned = append(poisoned, id)
		}
	}
	slices.Sort(poisoned)
	var out []Action
	for _, id := range poisoned {
		p := c.requests[id]
		out = append(out, c.finish(now, p, c.final(p, Result{Outcome: outcome.NotRun, Reason: reasonPoison}))...)
	}
	return out
}

func (c *Controller) poison(now clock.Millis, r Request) bool {
	return c.o.Suspects.Kind(now, r.Fingerprint) == suspect.Confirmed
}
