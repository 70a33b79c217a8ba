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
	// summaryLook is the time between two looks whether a second has ended. Lines of all routers cover the same seconds,
	// as far as their clocks agree.
	summaryLook = 20 * time.Millisecond
	// maxSummaries bounds the teams of which a second's lines are written; the metrics have all.
	maxSummaries = 200
)

// load is what a router did since it started.
type load struct {
	requests int64
	shut     time.Duration
	busy     time.Duration
}

// summarise writes at the end of each second what teams got in it and what the router had to do.
func (r *Router) summarise(ctx context.Context) {
	second, last := time.Now().Unix(), load{}
	interval.Every(ctx, summaryLook, func() {
		if now := time.Now().Unix(); now != second {
			second = now
			last = r.summary(last)
		}
	})
	// The last second's requests end with the process.
	r.summary(last)
}

// summary writes what happened since a former one.
func (r *Router) summary(last load) load {
	r.mu.Lock()
	teams := r.intake.TakeUsage()
	late, busy := r.late, r.busyTime
	r.mu.Unlock()
	names := slices.Sorted(maps.Keys(teams))
	for _, name := range names {
		r.metrics.booked(name, teams[name])
	}
	for _, name := range names[:min(len(names), maxSummaries)] {
		e := teams[name]
		r.o.Summaries.Log(event.TeamShare, "team", name, "asked", e.Demand, "returned", e.Retried, "sent", e.Sent,
			"undone", e.Reverted, "begun", e.Started, "over_share", e.Refused[account.OverShare],
			"router_busy", e.Refused[account.RouterBusy], "engines_full", e.Refused[account.EnginesFull],
			"other", e.Refused[account.Other], "unserved", e.Unserved, "served", e.Served,
			"recent", e.Recent, "share", e.FairRate)
	}
	now := load{requests: r.count.Load(), shut: time.Duration(r.refused.Load()), busy: busy}
	if now != last {
		r.o.Summaries.Log(event.RouterLoad, "requests", now.requests-last.requests,
			"in_progress", r.inbound.Load(), "busy_ms", (now.busy - last.busy).Milliseconds(),
			"shut_ms", (now.shut - last.shut).Milliseconds(), "late_ms", int64(late),
			"takes_connections", !r.away.Load(), "teams", len(names))
	}
	return now
}
