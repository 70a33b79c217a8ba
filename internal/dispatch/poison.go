package dispatch

import (
	"slices"

	"github.com/laburnumring/laburnumring/internal/suspect"
	"github.com/laburnumring/laburnumring/pkg/clock"
	"github.com/laburnumring/laburnumring/pkg/outcome"
)

// reasonPoison is the reason for refusing a request that has crashed servers.
const reasonPoison = "poison"

// SuspectsChanged ends the waiting requests with the given fingerprint if it is now confirmed as poison.
func (c *Controller) SuspectsChanged(now clock.Millis, fingerprint uint64) []Action {
	var poisoned []string
	for id, p := range c.requests {
		if p.req.Fingerprint == fingerprint && p.boundServer == "" && c.isPoison(now, p.req) {
			poisoned = append(poisoned, id)
		}
	}
	slices.Sort(poisoned)
	var out []Action
	for _, id := range poisoned {
		p := c.requests[id]
		out = append(out, c.finish(now, p, c.requestEnd(p, Result{Outcome: outcome.NotRun, Reason: reasonPoison}))...)
	}
	return out
}

// isPoison reports whether the request is confirmed to crash servers.
func (c *Controller) isPoison(now clock.Millis, r Request) bool {
	return c.opts.Suspects.Kind(now, r.Fingerprint) == suspect.Confirmed
}
