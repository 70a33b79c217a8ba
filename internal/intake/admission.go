package intake

import "github.com/laburnumring/laburnumring/pkg/clock"

// Names of reasons.
const (
	// ReasonOverShare is the reason of refusals of teams that have received their share.
	ReasonOverShare = "over_share"
	reasonEngines   = "engines_full"
	reasonNoServer  = "no_server"
	// reasonEvacuated is the reason of refusals if no server of a service is left while places are evacuated.
	reasonEvacuated = "place_evacuated"
	// reasonServersFull means that a plain service has no free slot.
	reasonServersFull = "servers_full"
	// reasonPaused means that all servers have asked for a pause.
	reasonPaused = "servers_paused"
	// reasonBusy is the reason of refusals that apply to this router alone.
	reasonBusy = "router_busy"
	// busyRetryAfter makes callers retry at another router at once.
	busyRetryAfter = 20 * clock.Millis(1)
)

// Bounds of reasons that no other decision uses.
const (
	// maxLateWait is the fraction of the time up to its deadline after which a request that no engine can serve on time
	// is refused.
	maxLateWait = 0.15
	// maxWaitingPerServer limits the calls that wait for a plain service, per server of the service.
	maxWaitingPerServer = 64
)

// serviceReasons are those for which no server of a service gets a request, whatever the servers' load.
func serviceReasons() reasons {
	noVersion := func(e *evaluation) bool { return len(e.pool) == 0 }
	return reasons{
		{
			name: "deadline", verdict: refuses, retryAfter: afterSecond,
			when: func(e *evaluation) bool { return e.now >= e.r.Deadline },
		},
		{
			name: reasonEvacuated, verdict: refuses, retryAfter: afterSecond,
			when: func(e *evaluation) bool { return e.listed == 0 && e.c.evacuating },
		},
		{
			name: reasonNoServer, verdict: refuses, retryAfter: afterSecond,
			when: func(e *evaluation) bool { return e.listed == 0 },
		},
		{
			name: reasonVersionGone, verdict: refuses, retryAfter: afterSecond,
			when: func(e *evaluation) bool { return noVersion(e) && e.r.Software != 0 },
		},
		{
			name: "version_soon_recorded", verdict: waits,
			when: func(e *evaluation) bool { return noVersion(e) && e.now-e.r.Arrived < maxAdmissionWait },
		},
		{
			name: reasonNotAdmitted, verdict: refuses, when: noVersion,
			retryAfter: func(*evaluation) clock.Millis { return maxAdmissionWait },
		},
		{
			name: reasonPaused, verdict: refuses, value: (*evaluation).pauseMs, above: zero,
			retryAfter: func(e *evaluation) clock.Millis { return e.c.poolPause(e.now, e.pool) },
		},
	}
}

// plainReasons decide on calls of plain services, which have few slots and refuse what they cannot queue.
func plainReasons() reasons {
	return append(append(reasons{
		{name: "slot", verdict: sends, when: func(e *evaluation) bool { return e.best.s != nil }},
	}, limitReasons()...), reasons{
		{
			name: reasonServersFull, verdict: refuses, retryAfter: afterGoal,
			// The request would be one more.
			value: func(e *evaluation) float64 { return float64(e.c.backlog(e.r.Service).requests + 1) },
			above: func(e *evaluation) float64 { return float64(maxWaitingPerServer * len(e.pool)) },
		},
		{
			name: reasonServersFull, verdict: refuses, retryAfter: afterGoal, value: (*evaluation).waitedMs,
			above: func(e *evaluation) float64 { return float64((e.r.Deadline - e.r.Arrived) / 2) },
		},
		{name: "no_slot", verdict: waits},
	}...)
}

// engineReasons decide on prompts. While demand exceeds capacity, requests of teams above their max-min fair share are
// refused. Other requests are sent if they can be on time, if their team is urgent, or where they delay no other.
func engineReasons() reasons {
	return append(append(reasons{
		{
			name: "begun", verdict: sends,
			when: func(e *evaluation) bool { return e.best.s != nil && e.r.committed() },
		},
		{
			name: "on_time", verdict: sends, when: func(e *evaluation) bool { return !e.held() },
			value: (*evaluation).startMs, upTo: (*evaluation).onTimeMs,
		},
		{
			name: "team_urgent", verdict: sends,
			when: func(e *evaluation) bool { return !e.held() && e.team.urgent },
		},
		{
			name: "delays_no_other", verdict: sends,
			when: func(e *evaluation) bool { return !e.held() && delaysNoOther(e.r, e.best, e.svc) },
		},
		{
			name: ReasonOverShare, verdict: refuses, retryAfter: afterShare,
			when: func(e *evaluation) bool { return e.team.overShare && !e.r.committed() },
		},
		{
			// Other routers could not serve the request within its team's share either.
			name: ReasonOverShare, verdict: refuses, retryAfter: afterShare,
			when: func(e *evaluation) bool {
				return e.redirected() && !e.r.committed() && !e.c.servableElsewhere(e.v, e.r, e.team, e.fairRate)
			},
		},
		{
			name: reasonNoServer, verdict: refuses, retryAfter: afterSecond, noBasis: true,
			when: func(e *evaluation) bool { return !e.reachable },
		},
		{
			name: reasonBusy, verdict: refuses, when: (*evaluation).redirected,
			retryAfter: func(*evaluation) clock.Millis { return busyRetryAfter },
		},
	}, limitReasons()...), reasons{
		{
			name: reasonEngines, verdict: refuses, retryAfter: (*evaluation).afterQueue, value: (*evaluation).waitedMs,
			above: func(e *evaluation) float64 { return maxLateWait * float64(e.r.Deadline-e.r.Arrived) },
		},
		{
			name: reasonEngines, verdict: refuses, retryAfter: (*evaluation).afterQueue,
			when:  func(e *evaluation) bool { return !e.team.underserved },
			value: (*evaluation).queueWait, above: (*evaluation).goalMs,
		},
		{name: "engines_busy", verdict: waits},
	}...)
}

// limitReasons decide on requests that only the limits of the servers hold back. A stream that has begun waits for its
// next server.
func limitReasons() reasons {
	return reasons{
		{
			name: "begun", verdict: waits,
			when: func(e *evaluation) bool { return e.limited() && e.r.committed() },
		},
		{
			name: "limit_soon", verdict: waits, when: (*evaluation).limited, value: (*evaluation).limitedMs,
			upTo: func(e *evaluation) float64 { return lateStartFraction * float64(e.r.Goal) },
		},
		{name: reasonLimited, verdict: refuses, when: (*evaluation).limited, retryAfter: (*evaluation).afterLimits},
	}
}

// sendingReasons are those for which the chosen server does not get a request any more.
func sendingReasons() reasons {
	return reasons{
		{name: reasonNoServer, verdict: refuses, when: func(e *evaluation) bool { return !e.c.lists(e.chosen) }},
		{
			name: reasonPaused, verdict: refuses, above: zero,
			value: func(e *evaluation) float64 { return float64(e.c.pauses[e.chosen.entry.ID] - e.now) },
		},
	}
}

// Accepts reports whether a server is on the list of servers that may get work and has not asked for a pause.
func (c *Controller) Accepts(now clock.Millis, id string) bool {
	return c.tables.sending.first(&evaluation{c: c, now: now, chosen: c.servers[id]}) == nil
}

// RouterBusyError returns the refusal that sends a caller to another router.
func RouterBusyError() *RefusedError {
	return &RefusedError{Reason: reasonBusy, RetryAfter: busyRetryAfter}
}

func zero(*evaluation) float64 { return 0 }

func afterSecond(*evaluation) clock.Millis { return clock.Second }

func afterGoal(e *evaluation) clock.Millis { return e.r.Goal }

func afterShare(e *evaluation) clock.Millis { return e.c.shareWait(e.v, e.r, e.limit) }
