package intake

import (
	"math"

	"github.com/cespare/xxhash/v2"

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

// decideEngine sends a prompt to the engine with the least expected time to its first token. While demand exceeds
// capacity, it refuses requests of teams above their max-min fair share. Other requests are sent if they can be on
// time, if their team is urgent, or where they delay no other request.
func (c *Controller) decideEngine(
	now clock.Millis, r Request, v *view, pool []*server, svc routing.Service,
) (Decision, bool) {
	fairRate := c.fairRate(now, v, r.Service)
	limit := fairRate
	if r.retried() {
		// Requests that can still be on time go first; retried ones are already late.
		limit *= retriedShare
	}
	team := c.standing(now, v, r.Team, fairRate, limit)
	best, reachable, limitWait := c.bestEngine(now, r, v, pool, svc)
	best.basis.Served, best.basis.Recent = int64(v.teams[r.Team].Served), int64(team.recent)
	if !math.IsInf(fairRate, 1) {
		best.basis.FairRate = int64(fairRate)
	}
	c.recordBasis(r.Team, best.basis)
	if best.s != nil && r.Goal > 0 {
		if fraction, ok := waitFraction(best.leastMs, float64(best.unqueuedMs), float64(r.Goal)); ok {
			c.capacity(r.Service).observe(now, fraction, best.answerMs(r, svc)/float64(r.Deadline-r.Arrived),
				c.peers.meanFactor(r.Service))
		}
	}
	waited := now - r.Arrived
	late := float64(now-r.firstArrived)+float64(best.basis.Expected) > onTimeFraction*float64(r.Goal)
	if best.s != nil && r.Committed {
		return c.assign(now, r, best, v), true
	}
	redirect := c.preferOtherRouter(r) && !team.underserved
	if best.s != nil && !team.overShare && !redirect && (!late || team.urgent || delaysNoOther(r, best, svc)) {
		d := c.assign(now, r, best, v)
		d.Underserved = team.underserved
		return d, true
	}
	if team.overShare && !r.Committed {
		return withBasis(refuse(r, ReasonOverShare, c.shareWait(v, r, limit)), best.basis), true
	}
	if !reachable {
		return refuse(r, reasonNoServer, clock.Second), true
	}
	if redirect {
		return Decision{Request: r.ID, Refusal: RouterBusyError(), Basis: best.basis}, true
	}
	if limitWait != noWait {
		d, refused := c.refuseLimited(now, r, pool, limitWait, v)
		return withBasis(d, best.basis), refused
	}
	wait := c.queueWait(r, v, c.queueServers(now, svc, pool))
	if float64(waited) > maxLateWait*float64(r.Deadline-r.Arrived) || wait > float64(r.Goal) && !team.underserved {
		return withBasis(refuse(r, reasonEngines, clock.Millis(wait)+r.Goal), best.basis), true
	}
	return Decision{}, false
}

// preferOtherRouter reports whether a request should go through another router because this one has too little
// processor time: all its streams would be late. Requests that were already sent to a server stay.
func (c *Controller) preferOtherRouter(r Request) bool {
	return c.busy && !r.Committed && len(r.Tried) == 0
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

// answerMs returns the expected time to the complete answer, in milliseconds.
func (ch choice) answerMs(r Request, svc routing.Service) float64 {
	return float64(ch.basis.Expected) + ch.s.answerMs(r, svc)
}

// answerMs returns the expected time between a request's first token and the end of its answer, in milliseconds; 0 if the
// engine's speed is not known yet.
func (s *server) answerMs(r Request, svc routing.Service) float64 {
	return s.eventGapMs * float64(r.OutputTokens) / float64(max(1, svc.EventTokens))
}

// delaysNoOther reports whether an engine has so little queued that a request which cannot be on time, because it is
// already late or long, delays no other.
func delaysNoOther(r Request, ch choice, svc routing.Service) bool {
	long := float64(ch.unqueuedMs) > longPromptFraction*float64(r.Goal)
	startMs := ch.basis.Expected
	if long {
		startMs -= ch.unqueuedMs
	}
	return float64(startMs) <= lateStartFraction*float64(r.Goal) &&
		float64(ch.basis.Running) < lateSlotFraction*float64(slotsOf(svc, ch.s))
}

func withBasis(d Decision, b Basis) Decision {
	d.Basis = b
	return d
}

// noWait means that no server waits for its limit.
const noWait clock.Millis = math.MaxInt64

// bestEngine returns the engine with the lowest score among those with free slots and memory; reachable reports whether
// any engine can be tried at all. limitWait is the shortest time until an engine's limit allows another request if all
// that can be tried wait for theirs, otherwise noWait.
func (c *Controller) bestEngine(
	now clock.Millis, r Request, v *view, pool []*server, svc routing.Service,
) (best choice, reachable bool, limitWait clock.Millis) {
	f := c.forecast(r.Service)
	preferred := partServers(r, pool)
	best.score = math.Inf(1)
	home := homeUnavailable
	limitWait, allLimited := noWait, true
	least := math.Inf(1)
	for _, s := range pool {
		if !c.available(now, s, r) {
			continue
		}
		reachable = true
		if wait := c.limitWait(now, s); wait > 0 {
			limitWait = min(limitWait, wait)
			if s == preferred[0] {
				home = homeLimited
			}
			continue
		}
		allLimited = false
		l := c.load(s)
		uncached := s.uncachedTokens(now, r, s == preferred[0])
		own := r.ownTokens()
		slots := slotsOf(svc, s)
		// queued is the number of requests that the engine has to finish before it can start this one.
		queued := max(0, l.Running-slots+1)
		slotMs := s.answerMs(r, svc) / float64(slots)
		full := queued > 0 && (s != preferred[0] || queued > maxEngineQueue || slotMs == 0) ||
			svc.KVTokens > 0 && l.Running > 0 && l.Memory+own > int64(maxMemoryFraction*float64(svc.KVTokens))
		if s == preferred[0] {
			home = homeSlower
			if full {
				home = homeFull
			}
		}
		if full {
			continue
		}
		expected := f.Predict(s.entry.ID, l.Queued+uncached) + float64(queued)*slotMs
		if c.limited(now, s) {
			least = min(least, expected)
		}
		score := expected
		if reread := uncached - own; reread > 0 {
			penalty := extraCopyPenalty
			if s == preferred[1] {
				penalty = secondaryPenalty
			}
			score += extraCopyMs + penalty*f.Slope()*float64(reread)
		}
		if s.entry.Place != c.o.Place {
			score += otherPlaceMs
		}
		score += failurePenalty*s.failureRate*expected + c.limitPenalty(now, s, r)
		if score < best.score {
			best = choice{s: s, score: score, unqueuedMs: int64(f.Predict(s.entry.ID, uncached)), basis: Basis{
				Expected: int64(expected), Queued: l.Queued, Uncached: uncached, Running: l.Running, PeerAge: v.peerAge,
				Reread: max(0, uncached-own),
			}}
		}
	}
	switch {
	case preferred[0] == nil:
	case best.s == preferred[0]:
		best.basis.Home = homeChosen
	default:
		best.basis.Home = home
	}
	if !allLimited {
		limitWait = noWait
	}
	best.leastMs = min(least, float64(best.basis.Expected))
	return best, reachable, limitWait
}

// Values of Basis.Home.
const (
	homeChosen      = "chosen"
	homeUnavailable = "unavailable"
	homeFull        = "full"
	homeLimited     = "limited"
	homeSlower      = "slower"
)

// slotsOf returns how many requests a server runs at once, as reported by the server or else as configured.
func slotsOf(svc routing.Service, s *server) int {
	for _, n := range []int{s.entry.Slots, svc.Slots} {
		if n > 0 {
			return n
		}
	}
	return defaultSlots
}

// ownTokens returns the tokens of the prompt's last part, which no other request shares.
func (r Request) ownTokens() int64 {
	if len(r.Parts) == 0 {
		return r.PromptTokens
	}
	return r.Parts[len(r.Parts)-1].Tokens
}

// partServers returns the primary and the secondary server of the prompt's last shared part, chosen by rendezvous
// hashing so that all routers send the part to the same servers. Both are nil without a shared part. The parts before
// it are shared by many prompts and are soon cached everywhere.
func partServers(r Request, pool []*server) (servers [2]*server) {
	if len(r.Parts) < 2 {
		return servers
	}
	shared := r.Parts[len(r.Parts)-2]
	var highest [2]uint64
	for _, s := range pool {
		switch h := xxhash.Sum64String(shared.ID + "@" + s.entry.ID); {
		case servers[0] == nil || h > highest[0]:
			servers[1], highest[1] = servers[0], highest[0]
			servers[0], highest[0] = s, h
		case servers[1] == nil || h > highest[1]:
			servers[1], highest[1] = s, h
		}
	}
	return servers
}

// assign assigns a request to a server and charges its load and tokens.
func (c *Controller) assign(now clock.Millis, r Request, ch choice, v *view) Decision {
	b := ch.basis
	l := Load{Running: 1}
	if c.isEngine(r.Service) {
		l.Queued = b.Uncached
		l.Memory = r.ownTokens() + r.OutputTokens
		ch.s.markCached(now, r)
		c.demand(r.Service).observeTokens(float64(r.tokens()), c.limited(now, ch.s))
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
	}
	return Decision{Request: r.ID, Server: ch.s.entry, Basis: b}
}

// queueWait returns the milliseconds that the engines need to read the other prompts that wait here for the same
// service.
func (c *Controller) queueWait(r Request, v *view, servers float64) float64 {
	tokens := c.backlog(r.Service).tokens
	if v.polling {
		tokens -= r.ownTokens()
	}
	return float64(tokens) * c.forecast(r.Service).Slope() / servers
}

// Limits of the time after which requests of a team above its share may be retried.
const (
	minShareWait = 500 * clock.Millis(1)
	maxShareWait = 8 * clock.Second
)

// shareWait returns the time after which a team above its share is likely to be within it: the time in which limit, in
// tokens per second, covers the team's demand of one second.
func (c *Controller) shareWait(v *view, r Request, limit float64) clock.Millis {
	ratio := v.teams[r.Team].Demand / limit
	return min(maxShareWait, max(minShareWait, clock.Millis(ratio*float64(clock.Second))))
}
