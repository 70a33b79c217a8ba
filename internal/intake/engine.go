package intake

import (
	"math"

	"github.com/cespare/xxhash/v2"

	"github.com/laburnumring/laburnumring/internal/routing"
	"github.com/laburnumring/laburnumring/pkg/clock"
)

// Weights and limits of the choice of an engine.
const (
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
)

// placeEngine finds the engine with the lowest score among those with free slots and memory. Only limits hold a request
// back if all engines that can be tried wait for theirs.
func (c *Controller) placeEngine(
	now clock.Millis, r Request, v *view, pool []*server, svc routing.Service,
) placement {
	// best is the choice by expected time alone, sparing the one that also counts the pauses of running streams. It is
	// among the engines that can start the request now, so that no request waits because of a pause.
	best, sparing, reachable := choice{score: math.Inf(1)}, choice{score: math.Inf(1)}, false
	gaps := c.gapForecast(r, svc)
	f := c.forecast(r.Service)
	preferred := partServers(r, pool)
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
		expected := f.Predict(s.entry.ID, l.Queued+uncached) + float64(queued)*slotMs
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
		score += failurePenalty * s.failureRate * expected
		if c.limited(now, s) {
			least = min(least, expected)
			if leaves {
				score += onTimeFraction * float64(r.Goal)
			}
		}
		ch := choice{s: s, score: score, unqueuedMs: int64(f.Predict(s.entry.ID, uncached)), basis: Basis{
			Expected: int64(expected), Queued: l.Queued, Uncached: uncached, Running: l.Running, PeerAge: v.peerAge,
			Reread: max(0, uncached-own),
		}}
		if gaps.goalMs > 0 {
			ch.basis.Pause, ch.basis.PauseCost = int64(gaps.pauseMs(s, l.Queued+uncached)), int64(gaps.costMs(s, l, uncached))
			onTime := float64(now-r.firstArrived)+expected <= onTimeFraction*float64(r.Goal)
			if cost := score + gaps.costMs(s, l, uncached); cost < sparing.score && (onTime || delaysNoOther(r, ch, svc)) {
				sparing = ch
				sparing.score = cost
			}
		}
		if score < best.score {
			best = ch
		}
	}
	if sparing.s != nil && sparing.s != best.s {
		// The longer wait is chosen and does not show a lack of capacity.
		least = min(least, float64(best.basis.Expected))
		best = sparing
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
	return placement{best: best, reachable: reachable, limitWait: limitWait}
}

// Values of Basis.Home.
const (
	homeChosen      = "chosen"
	homeUnavailable = "unavailable"
	homeFull        = "full"
	homeLimited     = "limited"
	homeSlower      = "slower"
)

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
