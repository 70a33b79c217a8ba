package dispatch

import (
	"maps"
	"slices"

	"github.com/laburnumring/laburnumring/pkg/clock"
	"github.com/laburnumring/laburnumring/pkg/outcome"
)

// AgentLeaving takes the tickets back from an agent that must get no more work and leaves them elsewhere.
// Requests that are bound to it go on.
func (c *Controller) AgentLeaving(now clock.Millis, server string) []Action {
	var out []Action
	for _, id := range slices.Sorted(maps.Keys(c.requests)) {
		if c.requests[id].hasTicket(server) {
			out = append(out, Withdraw{Server: server, Request: id})
		}
	}
	return append(out, c.AgentLost(now, server)...)
}

// EndWaiting gives up all requests that wait, when a shutdown has reached its limit. Bound ones go on.
func (c *Controller) EndWaiting(now clock.Millis) []Action {
	var out []Action
	for _, id := range slices.Sorted(maps.Keys(c.requests)) {
		p := c.requests[id]
		if p.bound == "" {
			out = append(out, c.finish(now, p, c.final(p, Result{Outcome: outcome.NotRun, Reason: "stopping"}))...)
		}
	}
	return out
}
