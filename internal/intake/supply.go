package intake

import (
	"math"

	"github.com/laburnumring/laburnumring/pkg/clock"
)

// supply estimates how many tokens per second a service's engines give beside the configured figure, from how soon
// they would begin and end what comes: parts of prompts that are kept, long answers and lost servers all move it.
type supply struct {
	// factor multiplies the configured throughput; 0 before the first look.
	factor float64
	// strain is the decayed use of the time that requests have; 1 is what engines should be used up to.
	strain float64
	// begun is the decayed use of the time for queueing that was seen: with many routers forecasts miss what the others
	// send meanwhile.
	begun float64
	// at is when the factor last moved.
	at       clock.Millis
	scarcity scarcity
}

// scarcity knows how long there was enough for all.
type scarcity struct {
	// short says that there is not enough for all, and plenty when there last began to be enough.
	short  bool
	plenty clock.Millis
	// forgive is until when teams are forgiven what they received before.
	forgive clock.Millis
}

const (
	// plentyTime is how long there must have been enough for all before teams are forgiven what they received in it.
	plentyTime = 1 * clock.Second
	// forgiveTime is long enough for all routers to find that there is not enough any more.
	forgiveTime = 500 * clock.Millis(1)
)

// scarce records whether there is too little for all, and reports whether teams are now forgiven what they received.
func (s *scarcity) scarce(now clock.Millis, short bool) bool {
	switch {
	case !short && s.short:
		s.plenty = now
	case short && !s.short && (s.plenty == 0 || now-s.plenty >= plentyTime):
		s.forgive = now + forgiveTime
	}
	s.short = short
	return short && now < s.forgive
}

// began takes what part of the time that a request had for queueing it took.
func (s *supply) began(part float64) {
	s.begun += strainWeight * (min(part, maxStrain*beginTarget) - s.begun)
}

// queueing returns what part of the time that a request has for queueing before its goal a wait for its first token
// takes, when it would take alone without a queue, all in milliseconds. It returns false when the request's own prompt
// leaves too little time to say.
func queueing(wait, alone, goal float64) (float64, bool) {
	room := goalTime*goal - alone
	if room < minRoom*goal {
		return 0, false
	}
	return max(0, wait-alone) / room, true
}

// Settings of the supply's control loop.
const (
	// beginTarget is the part of the time for queueing before the first token, and endTarget the part of a request's time
	// that its whole answer is expected to take, at which engines are well used. The rest is for what forecasts miss:
	// answers are often twice as long as expected.
	beginTarget = 0.07
	endTarget   = 0.3
	// minRoom is the part of its goal that a request must have for queueing to count.
	minRoom      = 0.2
	strainWeight = 0.05
	maxStrain    = 3.0
	// firstSupply is the factor before the first look, without other routers: engines that keep the shared parts of
	// prompts give about this much.
	firstSupply = 1.6
	// supplyGain is how fast the factor follows, per second and unit of strain.
	supplyGain = 1.0
	// supplyPull is how far the factor moves towards the other routers' mean at each step.
	supplyPull = 0.2
	// minSupply is what engines give when a fifth of them is lost or slow; maxSupply is more than engines that keep all
	// shared parts give.
	minSupply  = 0.8
	maxSupply  = 4.0
	supplyStep = 50 * clock.Millis(1)
	// supplyGap is the most time between looks that counts.
	supplyGap = 500 * clock.Millis(1)
	// begunMemory is the time constant with which seen times are forgotten: where most requests are refused, few begin to
	// show that engines are free again.
	begunMemory = 1 * clock.Second
	// supplyLife is how long a factor that has not moved says something of the engines.
	supplyLife = 1 * clock.Second
)

// current reports whether the factor moved lately.
func (s *supply) current(now clock.Millis) bool { return s.factor > 0 && now-s.at <= supplyLife }

// observe takes the parts of a request's time for queueing and of its whole time that the engines are expected to use,
// and the mean factor of the other routers; 0 when it is not known.
func (s *supply) observe(now clock.Millis, begin, end, others float64) {
	if !s.current(now) && (s.factor == 0 || others > 0) {
		*s = supply{factor: firstSupply, strain: 1, begun: beginTarget, at: now, scarcity: s.scarcity}
		if others > 0 {
			s.factor = others
		}
	}
	begin = max(begin, s.begun)
	s.strain += strainWeight * (min(maxStrain, max(begin/beginTarget, end/endTarget)) - s.strain)
	if now-s.at < supplyStep {
		return
	}
	s.begun *= math.Exp(-float64(now-s.at) / float64(begunMemory))
	seconds := min(now-s.at, supplyGap).Duration().Seconds()
	f := s.factor * math.Exp(supplyGain*(1-s.strain)*seconds)
	if others > 0 {
		f += supplyPull * (others - f)
	}
	s.factor = min(maxSupply, max(minSupply, f))
	s.at = now
}

// factor returns by how much a service's engines give more than the configured throughput: what all routers find on
// average, so that a team's share is the same at each.
func (c *Controller) factor(now clock.Millis, service string) float64 {
	own, others := c.supply(service), c.peers.supplies[service]
	switch {
	case own.current(now):
		return (own.factor + others.total()) / float64(1+others.n)
	case others.n > 0:
		return others.total() / float64(others.n)
	case own.factor > 0:
		return own.factor
	}
	return firstSupply
}
