package intake

import (
	"math"

	"github.com/laburnumring/laburnumring/internal/routing"
	"github.com/laburnumring/laburnumring/pkg/clock"
)

// Weights and limits of the choice of a server.
const (
	// onTimeFraction is the fraction of a request's latency goal by which its first token must be expected.
	onTimeFraction = 0.9
	// lateStartFraction is the fraction of the goal by which an engine must be able to start a request that will be
	// late anyway. Where the request alone takes more than longPromptFraction of its goal, only its time in the queue
	// counts.
	lateStartFraction  = 0.5
	longPromptFraction = 0.6
	// retriedShare is the fraction of its team's fair rate up to which a retried request is served.
	retriedShare = 0.8
	// lateSlotFraction is the fraction of an engine's slots that late requests may fill.
	lateSlotFraction = 0.85
	// maxMemoryFraction is the fraction of an engine's memory that running requests may hold. The rest is for shared
	// prompt parts and for answers longer than expected.
	maxMemoryFraction = 0.85
	// extraCopyPenalty is how many times the reading time of uncached shared parts is added to an engine's score.
	extraCopyPenalty = 8.0
	// secondaryPenalty is the same for the secondary server of the part, so that the part is read at one more engine
	// rather than at many.
	secondaryPenalty = 3.0
	// extraCopyMs is how much sooner an engine without the shared parts must start, in milliseconds, however short the
	// parts are: each additional copy evicts other parts.
	extraCopyMs = 60.0
	// maxEngineQueue is how many requests may wait for a free slot in the engine that has cached their shared part.
	maxEngineQueue = 2
	// otherPlaceMs is the time added for a server in another data centre, in milliseconds.
	otherPlaceMs = 2.0
	// otherPlaceSlots is the load added for a plain server in another data centre, in slots.
	otherPlaceSlots = 0.3
	// queueSlots is how many requests beyond its slots a plain server gets, so that one is ready when a slot becomes
	// free.
	queueSlots = 1
	// defaultSlots applies where neither the server nor the configuration gives a number of slots.
	defaultSlots = 16
	// failurePenalty is how many times the load of a plain server, or the expected time of an engine, is added to its
	// score if it fails all requests; a lower failure rate adds proportionally less.
	failurePenalty = 8.0
	// maxLateWait is the fraction of the time up to its deadline after which a request that no engine can serve on time
	// is refused.
	maxLateWait = 0.15
	// maxWaitingPerServer limits the calls that wait for a plain service, per server of the service.
	maxWaitingPerServer = 64
)

// choice is a candidate server with the figures that the choice is based on.
type choice struct {
	s     *server
	score float64
	// unqueuedMs is the predicted time to the first token with an empty queue, in milliseconds.
	unqueuedMs int64
	basis      Basis
	// leastMs is the least predicted time to the first token, in milliseconds, at this server and at those with a limit
	// that have room.
	leastMs float64
}

// decide sends or refuses a request. It returns false if the request has to wait.
func (c *Controller) decide(now clock.Millis, r Request, v *view) (Decision, bool) {
	if now >= r.Deadline {
		return refuse(r, "deadline", clock.Second), true
	}
	pool := c.pools[r.Service]
	if len(pool) == 0 {
		return refuse(r, reasonNoServer, clock.Second), true
	}
	if pool = c.eligible(pool, r); len(pool) == 0 {
		return decideIneligible(now, r)
	}
	if pause := c.poolPause(now, pool); pause > 0 {
		return refuse(r, reasonPaused, pause), true
	}
	svc, _ := c.table.Service(r.Service)
	if !svc.IsEngine {
		return c.decidePlain(now, r, v, pool, svc)
	}
	return c.decideEngine(now, r, v, pool, svc)
}

func refuse(r Request, reason string, after clock.Millis) Decision {
	return Decision{Request: r.ID, Refusal: &RefusedError{Reason: reason, RetryAfter: after}}
}

// decidePlain spreads calls by fleet-wide load over servers that have few slots and refuse what they cannot queue.
func (c *Controller) decidePlain(
	now clock.Millis, r Request, v *view, pool []*server, svc routing.Service,
) (Decision, bool) {
	best := choice{score: math.Inf(1)}
	fastest := minLatency(pool)
	limitWait, full := noWait, false
	for _, s := range pool {
		l := c.load(s)
		slots := slotsOf(svc, s)
		if !c.available(now, s, r) {
			continue
		}
		if wait := c.limitWait(now, s); wait > 0 {
			limitWait = min(limitWait, wait)
			continue
		}
		if l.Running >= slots+queueSlots {
			full = true
			continue
		}
		score := float64(l.Running+1) / float64(slots)
		if s.entry.Place != c.o.Place {
			score += otherPlaceSlots / float64(slots)
		}
		score *= 1 + failurePenalty*s.failureRate
		if fastest > 0 && s.latencyMs > fastest {
			score *= s.latencyMs / fastest
		}
		if score < best.score {
			best = choice{s: s, score: score, basis: Basis{Running: l.Running, PeerAge: v.peerAge}}
		}
	}
	if best.s != nil {
		return c.assign(now, r, best, v), true
	}
	if limitWait != noWait && !full {
		return c.refuseLimited(now, r, pool, limitWait, v)
	}
	if c.backlog(r.Service).requests >= maxWaitingPerServer*len(pool) || now-r.Arrived > (r.Deadline-r.Arrived)/2 {
		return refuse(r, "servers_full", r.Goal), true
	}
	return Decision{}, false
}

// minLatency returns the lowest known latency of the servers in milliseconds; 0 if none is known.
func minLatency(pool []*server) float64 {
	fastest := 0.0
	for _, s := range pool {
		if s.latencyMs > 0 && (fastest == 0 || s.latencyMs < fastest) {
			fastest = s.latencyMs
		}
	}
	return fastest
}

// preferOtherRouter reports whether a request should go through another router because this one has too little
// processor time: all its streams would be late. Requests that were already sent to a server stay.
func (c *Controller) preferOtherRouter(r Request) bool {
	return c.busy && !r.Committed && len(r.Tried) == 0
}

// servableElsewhere reports whether a request that this router has no time for is among those that other routers can serve
// within its team's share. Of the tokens that arrive beyond what the team receives, that is the fraction which the rest of
// its share covers.
func (c *Controller) servableElsewhere(v *view, r Request, team standing, fairRate float64) bool {
	left, excess := fairRate-team.recent, v.teams[r.Team].Arrived-team.recent
	if excess <= left {
		return true
	}
	// Multiples of the golden ratio spread evenly, so that any requests in a row are divided in this proportion.
	_, position := math.Modf(float64(r.ID) * math.Phi)
	return position*excess < left
}

// RouterBusyError returns the refusal that sends a caller to another router.
func RouterBusyError() *RefusedError {
	return &RefusedError{Reason: reasonBusy, RetryAfter: busyRetryAfter}
}

const (
	// ReasonOverShare is the reason of refusals of teams that have received their share.
	ReasonOverShare = "over_share"
	reasonEngines   = "engines_full"
	reasonNoServer  = "no_server"
	// reasonPaused means that all servers have asked for a pause.
	reasonPaused = "servers_paused"
	// reasonBusy is the reason of refusals that apply to this router alone.
	reasonBusy = "router_busy"
	// busyRetryAfter makes callers retry at another router at once.
	busyRetryAfter = 20 * clock.Millis(1)
)

// assign assigns a request to a server and charges its load and tokens.
func (c *Controller) assign(now clock.Millis, r Request, ch choice, v *view) Decision {
	b := ch.basis
	l := Load{Running: 1}
	if c.isEngine(r.Service) {
		l.Queued = b.Uncached
		l.Memory = r.ownTokens() + r.OutputTokens
		ch.s.markCached(now, r)
		c.demand(r.Service).observeCost(now, float64(r.tokens()), c.limited(now, ch.s))
		if !r.Committed {
			c.ledger.AddServed(now, r.Team, r.tokens())
			c.usage.Team(r.Team).Sent += r.tokens()
		}
		v.teams[r.Team] = c.ledger.Total(now, r.Team)
	}
	c.limits.Take(now, uint32(ch.s.key))
	ch.s.load = ch.s.load.plus(l)
	c.attempts[r.ID] = &attempt{
		r: r, server: ch.s.entry.ID, load: l, tokensToRead: b.Queued + b.Uncached, unqueuedMs: ch.unqueuedMs, sentAt: now,
		cold: c.cold(now, ch.s),
	}
	return Decision{Request: r.ID, Server: ch.s.entry, Basis: b}
}
