package intake

import (
	"math"

	"github.com/laburnumring/laburnumring/pkg/clock"
)

// capacityEstimate estimates the tokens per second that a service's engines process, relative to the configured figure,
// from how soon they are expected to start and finish requests. Cached prompt parts, long answers and lost servers all
// change it.
type capacityEstimate struct {
	// factor multiplies the configured throughput; 0 before the first observation.
	factor float64
	// loadRatio is the exponentially decayed ratio of the time that requests use to the target; engines should be used
	// up to 1.
	loadRatio float64
	// observedWait is the exponentially decayed fraction of their time for queueing that started requests were observed
	// to use. With many routers, forecasts miss what the others send in the meantime.
	observedWait float64
	// updatedAt is when factor was last updated.
	updatedAt clock.Millis
	shortage  shortage
}

// shortage tracks how long capacity has sufficed for all teams.
type shortage struct {
	// inShortage is set while capacity does not suffice for all; ampleSince is when it last began to suffice.
	inShortage bool
	ampleSince clock.Millis
	// forgiveUntil is the time until which teams' earlier usage is forgiven.
	forgiveUntil clock.Millis
}

const (
	// minAmpleTime is how long capacity must have sufficed for all before teams' usage in that time is forgiven.
	minAmpleTime = 1 * clock.Second
	// forgivePeriod is long enough for all routers to notice the shortage.
	forgivePeriod = 500 * clock.Millis(1)
)

// update records whether capacity is short, and reports whether teams' earlier usage is forgiven now.
func (s *shortage) update(now clock.Millis, short bool) bool {
	switch {
	case !short && s.inShortage:
		s.ampleSince = now
	case short && !s.inShortage && (s.ampleSince == 0 || now-s.ampleSince >= minAmpleTime):
		s.forgiveUntil = now + forgivePeriod
	}
	s.inShortage = short
	return short && now < s.forgiveUntil
}

// observeWait records the fraction of its time for queueing that a request used.
func (e *capacityEstimate) observeWait(fraction float64) {
	e.observedWait += loadRatioWeight * (min(fraction, maxLoadRatio*waitTarget) - e.observedWait)
}

// waitFraction returns the fraction of a request's time for queueing before its goal that a wait for the first token
// uses. unqueuedMs is the time to the first token without a queue; all times are in milliseconds. It returns false if
// the request's own prompt leaves too little time for a meaningful fraction.
func waitFraction(wait, unqueuedMs, goal float64) (float64, bool) {
	queueTime := onTimeFraction*goal - unqueuedMs
	if queueTime < minQueueTime*goal {
		return 0, false
	}
	return max(0, wait-unqueuedMs) / queueTime, true
}

// Parameters of the control loop of the capacity estimate.
const (
	// waitTarget is the fraction of the time for queueing that is used before the first token, and answerTarget the
	// fraction of a request's time in which its complete answer is expected, at which engines are well used. The rest
	// is a reserve for forecast errors: answers are often twice as long as expected.
	waitTarget   = 0.07
	answerTarget = 0.3
	// minQueueTime is the fraction of its goal that a request must have for queueing to be observed.
	minQueueTime    = 0.2
	loadRatioWeight = 0.05
	maxLoadRatio    = 3.0
	// initialFactor is the factor before the first observation and without other routers: about what engines that cache
	// the shared parts of prompts reach.
	initialFactor = 1.6
	// factorGain is how fast factor follows, per second and unit of loadRatio.
	factorGain = 1.0
	// peerPull is the fraction of the difference to the other routers' mean by which factor moves at each update.
	peerPull = 0.2
	// minFactor is reached when a fifth of the engines is lost or slow; maxFactor is more than engines that cache all
	// shared parts reach.
	minFactor      = 0.8
	maxFactor      = 4.0
	factorInterval = 50 * clock.Millis(1)
	// maxFactorGap limits the time between two updates that counts.
	maxFactorGap = 500 * clock.Millis(1)
	// observedWaitDecay is the time constant with which observed waits are forgotten: while most requests are refused,
	// few start and show that engines are free again.
	observedWaitDecay = 1 * clock.Second
	// factorTTL is how long a factor that is not updated still says something about the engines.
	factorTTL = 1 * clock.Second
)

// current reports whether factor was updated recently.
func (e *capacityEstimate) current(now clock.Millis) bool {
	return e.factor > 0 && now-e.updatedAt <= factorTTL
}

// observe updates the estimate with the fractions of a request's time for queueing and of its whole time that it is
// expected to use. peerFactor is the mean factor of the other routers; 0 if unknown.
func (e *capacityEstimate) observe(now clock.Millis, wait, answer, peerFactor float64) {
	if !e.current(now) && (e.factor == 0 || peerFactor > 0) {
		*e = capacityEstimate{
			factor: initialFactor, loadRatio: 1, observedWait: waitTarget, updatedAt: now, shortage: e.shortage,
		}
		if peerFactor > 0 {
			e.factor = peerFactor
		}
	}
	wait = max(wait, e.observedWait)
	e.loadRatio += loadRatioWeight * (min(maxLoadRatio, max(wait/waitTarget, answer/answerTarget)) - e.loadRatio)
	if now-e.updatedAt < factorInterval {
		return
	}
	e.observedWait *= math.Exp(-float64(now-e.updatedAt) / float64(observedWaitDecay))
	seconds := min(now-e.updatedAt, maxFactorGap).Duration().Seconds()
	f := e.factor * math.Exp(factorGain*(1-e.loadRatio)*seconds)
	if peerFactor > 0 {
		f += peerPull * (peerFactor - f)
	}
	e.factor = min(maxFactor, max(minFactor, f))
	e.updatedAt = now
}

// factor returns the ratio of the throughput of a service's engines to the configured one. It is the mean over all
// routers, so that a team's share is the same at each.
func (c *Controller) factor(now clock.Millis, service string) float64 {
	own, others := c.capacity(service), c.peers.factors[service]
	switch {
	case own.current(now):
		return (own.factor + others.total()) / float64(1+others.n)
	case others.n > 0:
		return others.total() / float64(others.n)
	case own.factor > 0:
		return own.factor
	}
	return initialFactor
}

func (c *Controller) capacity(service string) *capacityEstimate {
	e, ok := c.capacities[service]
	if !ok {
		e = &capacityEstimate{}
		c.capacities[service] = e
	}
	return e
}
