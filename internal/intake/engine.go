package intake

import (
	"math"

	"github.com/cespare/xxhash/v2"

	"github.com/laburnumring/laburnumring/internal/routing"
	"github.com/laburnumring/laburnumring/pkg/clock"
)

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
		if fraction, ok := best.waitFraction(r); ok {
			c.capacity(r.Service).observe(now, fraction, best.answerMs(r, svc)/float64(r.Deadline-r.Arrived),
				c.peers.meanFactor(r.Service))
		}
	}
	waited := now - r.Arrived
	late := float64(now-r.firstArrived)+float64(best.basis.Expected) > onTimeFraction*float64(r.Goal)
	if best.s != nil && r.committed() {
		return c.assign(now, r, best, v), true
	}
	redirect := c.preferOtherRouter(r) && !team.underserved
	if best.s != nil && !team.overShare && !redirect && (!late || team.urgent || delaysNoOther(r, best, svc)) {
		d := c.assign(now, r, best, v)
		d.Underserved = team.underserved
		return d, true
	}
	if (team.overShare || redirect && !c.servableElsewhere(v, r, team, fairRate)) && !r.committed() {
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

// waitFraction returns the fraction of a request's time for queueing that it is expected to use. A wait
// that it takes although an engine with a limit has room, which is left to dearer requests, counts as the target at most:
// it does not lower the capacity estimate.
func (ch choice) waitFraction(r Request) (float64, bool) {
	goal, unqueued := float64(r.Goal), float64(ch.unqueuedMs)
	fraction, ok := waitFraction(float64(ch.basis.Expected), unqueued, goal)
	if least, _ := waitFraction(ch.leastMs, unqueued, goal); least < fraction {
		fraction = max(least, min(fraction, waitTarget))
	}
	return fraction, ok
}

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
	leaves := c.leavesLimits(now, r)
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
		cold := c.coldFactor(now, s)
		expected := cold*f.Predict(s.entry.ID, l.Queued+uncached) + float64(queued)*slotMs
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
		score += failurePenalty*s.failureRate*expected + c.coldPenalty(now, s, r, s == preferred[0], max(0, uncached-own))
		if c.limited(now, s) {
			least = min(least, expected)
			if leaves && !c.cold(now, s) {
				score += onTimeFraction * float64(r.Goal)
			}
		}
		if score < best.score {
			best = choice{s: s, score: score, unqueuedMs: int64(cold * f.Predict(s.entry.ID, uncached)), basis: Basis{
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
	best.leastMs = min(least, float64(best.basis.Expected))
	if !allLimited {
		limitWait = noWait
	}
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
