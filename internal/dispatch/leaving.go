package dispatch

import (
	"maps"
	"slices"

	"github.com/laburnumring/laburnumring/pkg/clock"
	"github.com/laburnumring/laburnumring/pkg/outcome"
)

// AgentLeaving withdraws the tickets of an agent that must receive no more work and sends new ones to other agents.
// Requests that are bound to it continue.
func (c *Controller) AgentLeaving(now clock.Millis, server string) []Action {
	var out []Action
	for _, id := range slices.Sorted(maps.Keys(c.requests)) {
		if c.requests[id].hasTicket(server) {
			out = append(out, WithdrawTicket{Server: server, Request: id})
		}
	}
	return append(out, c.AgentLost(now, server)...)
}

// EndWaiting ends all waiting requests when a shutdown has reached its time limit. Bound requests continue.
func (c *Controller) EndWaiting(now clock.Millis) []Action {
	var out []Action
	for _, id := range slices.Sorted(maps.Keys(c.requests)) {
		p := c.requests[id]
		if p.boundServer == "" {
			out = append(out, c.finish(now, p, c.requestEnd(p, Result{Outcome: outcome.NotRun, Reason: "stopping"}))...)
		}
	}
	return out
}
