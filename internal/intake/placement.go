package intake

import (
	"math"

	"github.com/laburnumring/laburnumring/internal/routing"
	"github.com/laburnumring/laburnumring/pkg/clock"
)

// Limits and weights of the choice of a server.
const (
	// onTimeFraction is the fraction of a request's latency goal by which its first token must be expected.
	onTimeFraction = 0.9
	// lateStartFraction is the fraction of the goal by which an engine must be able to start a request that will be
	// late anyway. Where the request alone takes more than longPromptFraction of its goal, only its time in the queue
	// counts.
	lateStartFraction  = 0.5
	longPromptFraction = 0.6
	// lateSlotFraction is the fraction of an engine's slots that late requests may fill.
	lateSlotFraction = 0.85
	// failurePenalty is how many times the load of a plain server, or the expected time of an engine, is added to its
	// score if it fails all requests; a lower failure rate adds proportionally less.
	failurePenalty = 8.0
	// defaultSlots applies where neither the server nor the configuration gives a number of slots.
	defaultSlots = 16
)

// placement is where a request could go.
type placement struct {
	// best is the best server; best.s is nil if none has room.
	best choice
	// reachable is set if any engine can be tried at all.
	reachable bool
	// limitWait is the shortest time until a server's limit allows another request, if only limits hold the request
	// back; otherwise noWait.
	limitWait clock.Millis
}

// noWait means that no server waits for its limit.
const noWait clock.Millis = math.MaxInt64

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

// slotsOf returns how many requests a server runs at once, as reported by the server or else as configured.
func slotsOf(svc routing.Service, s *server) int {
	for _, n := range []int{s.entry.Slots, svc.Slots} {
		if n > 0 {
			return n
		}
	}
	return defaultSlots
}
