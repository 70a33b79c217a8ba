package direct

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/laburnumring/laburnumring/internal/account"
	"github.com/laburnumring/laburnumring/internal/event"
	"github.com/laburnumring/laburnumring/internal/interval"
)

const (
	// summaryPollInterval is the time between two checks whether a second has ended. The lines of all routers cover the
	// same seconds as far as their clocks agree.
	summaryPollInterval = 20 * time.Millisecond
	// maxTeamLines limits the teams for which a second's lines are written; the metrics cover all teams.
	maxTeamLines = 200
)

// load is what a router has done since it started.
type load struct {
	requests int64
	shedding time.Duration
	busy     time.Duration
}

// summarise logs at the end of each second the teams' usage in it and the load of the router.
func (r *Router) summarise(ctx context.Context) {
	second, last := time.Now().Unix(), load{}
	interval.Every(ctx, summaryPollInterval, func() {
		if now := time.Now().Unix(); now != second {
			second = now
			last = r.logSummary(last)
		}
	})
	// Log the last second too, which the end of the process cuts short.
	r.logSummary(last)
}

// logSummary logs what happened since last and returns the new totals.
func (r *Router) logSummary(last load) load {
	r.mu.Lock()
	teams := r.intake.TakeUsage()
	late, busy := r.timerLag, r.busyTime
	r.mu.Unlock()
	names := slices.Sorted(maps.Keys(teams))
	for _, name := range names {
		r.metrics.addUsage(name, teams[name])
	}
	for _, name := range names[:min(len(names), maxTeamLines)] {
		e := teams[name]
		r.o.Summaries.Log(event.TeamShare, "team", name, "asked", e.Demand, "returned", e.Retried, "sent", e.Sent,
			"undone", e.Reverted, "begun", e.Started, "over_share", e.Refused[account.OverShare],
			"router_busy", e.Refused[account.RouterBusy], "engines_full", e.Refused[account.EnginesFull],
			"other", e.Refused[account.Other], "unserved", e.Unserved, "served", e.Served,
			"recent", e.Recent, "share", e.FairRate)
	}
	now := load{requests: r.requestCount.Load(), shedding: time.Duration(r.shedTime.Load()), busy: busy}
	if now != last {
		r.o.Summaries.Log(event.RouterLoad, "requests", now.requests-last.requests,
			"in_progress", r.inbound.Load(), "busy_ms", (now.busy - last.busy).Milliseconds(),
			"shut_ms", (now.shedding - last.shedding).Milliseconds(), "late_ms", int64(late),
			"takes_connections", !r.outOfRotation.Load(), "teams", len(names))
	}
	return now
}
