package intake

import (
	"github.com/laburnumring/laburnumring/internal/account"
	"github.com/laburnumring/laburnumring/pkg/clock"
)

// TakeUsage returns the tokens that teams requested and received from engines since the last call.
func (c *Controller) TakeUsage() map[string]*account.Entry { return c.usage.Take() }

// RecordRefusal records the refusal of a request; requests to plain servers do not count.
func (c *Controller) RecordRefusal(r Request, reason string) {
	if !c.isEngine(r.Service) {
		return
	}
	c.usage.Team(r.Team).Refuse(refusalCause(reason), r.tokens())
}

// RecordRejection records a request to an engine that was refused before a decision on it. It counts as demand.
func (c *Controller) RecordRejection(r Request) {
	e := c.usage.Team(r.Team)
	e.Demand += r.tokens()
	e.Refuse(account.Other, r.tokens())
}

// refusalCause returns the cause under which a refusal with the given reason is counted.
func refusalCause(reason string) account.Cause {
	switch reason {
	case ReasonOverShare:
		return account.OverShare
	case reasonBusy:
		return account.RouterBusy
	case reasonEngines, reasonNoServer:
		return account.EnginesFull
	}
	return account.Other
}

// recordStart records a request's first event, unless the request was already started at another server.
func (c *Controller) recordStart(now clock.Millis, r Request) {
	if r.Committed {
		return
	}
	e := c.usage.Team(r.Team)
	e.Started += r.tokens()
	if now-r.firstArrived > r.Goal {
		e.Unserved++
	}
}

// recordBasis records the rates behind the latest decision on a team's request.
func (c *Controller) recordBasis(team string, b Basis) {
	e := c.usage.Team(team)
	e.Served, e.Recent, e.FairRate = b.Served, b.Recent, b.FairRate
}

// handleRefusal records the refusal of a request to an engine in the team's usage and in the table of refusals.
func (c *Controller) handleRefusal(now clock.Millis, r Request, d Decision) {
	if d.Refusal == nil || !c.isEngine(r.Service) {
		return
	}
	c.RecordRefusal(r, d.Refusal.Reason)
	switch {
	case d.Refusal.Reason != reasonBusy:
		c.refusals.record(now, uint32(r.Fingerprint))
	case !r.retried():
		// The caller retries at another router at once, which counts the demand.
		c.ledger.AddDemand(now, r.Team, -r.tokens())
	}
}
