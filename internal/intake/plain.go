package intake

import (
	"math"

	"github.com/laburnumring/laburnumring/internal/routing"
	"github.com/laburnumring/laburnumring/pkg/clock"
)

// Weights of the choice of a plain server.
const (
	// otherPlaceSlots is the load added for a plain server in another data centre, in slots.
	otherPlaceSlots = 0.3
	// queueSlots is how many requests beyond its slots a plain server gets, so that one is ready when a slot becomes
	// free.
	queueSlots = 1
)

// placePlain finds the server with the lowest fleet-wide load among those with a free slot. Only limits hold a call back
// if all servers that can be tried have free slots and wait for their limits.
func (c *Controller) placePlain(
	now clock.Millis, r Request, v *view, pool []*server, svc routing.Service,
) placement {
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
	if full {
		limitWait = noWait
	}
	return placement{best: best, limitWait: limitWait}
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
