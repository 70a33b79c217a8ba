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
	// begun is the decayed time to the first token that was seen, as a part of the goal: with many routers forecasts
	// miss what the others send meanwhile.
	begun float64
	// at is when the factor last moved.
	at clock.Millis
}

// began takes the time to a first token as a part of its goal.
func (s *supply) began(ratio float64) {
	s.begun += strainWeight * (min(ratio, maxStrain) - s.begun)
}

// Settings of the supply's control loop.
const (
	// beginTarget is the expected time to the first token as a part of the goal, and endTarget the expected time to
	// the whole answer as a part of the request's time, at which engines are well used. The rest is for what forecasts
	// miss: answers are often twice as long as expected.
	beginTarget  = 0.4
	endTarget    = 0.3
	strainWeight = 0.05
	maxStrain    = 3.0
	// firstSupply is the factor before the first look, without other routers: engines that keep the shared parts of
	// prompts give about this much.
	firstSupply = 1.6
	// supplyGain is how fast the factor follows, per second and unit of strain.
	supplyGain = 1.0
	// supplyPull is how far the factor moves towards the other routers' mean at each step.
	supplyPull = 0.2
	// minSupply keeps half of the configured throughput in use when engines seem slow; maxSupply is more than engines
	// that keep all shared parts give.
	minSupply  = 0.5
	maxSupply  = 4.0
	supplyStep = 50 * clock.Millis(1)
	// supplyGap is the most time between looks that counts.
	supplyGap = 500 * clock.Millis(1)
)

// observe takes the parts of a request's goal and time that the engines are expected to use, and the mean factor of
// the other routers; 0 when it is not known.
func (s *supply) observe(now clock.Millis, begin, end, others float64) {
	if s.factor == 0 {
		*s = supply{factor: firstSupply, strain: 1, at: now}
		if others > 0 {
			s.factor = others
		}
	}
	begin = max(begin, s.begun)
	s.strain += strainWeight * (min(maxStrain, max(begin/beginTarget, end/endTarget)) - s.strain)
	if now-s.at < supplyStep {
		return
	}
	seconds := min(now-s.at, supplyGap).Duration().Seconds()
	f := s.factor * math.Exp(supplyGain*(1-s.strain)*seconds)
	if others > 0 {
		f += supplyPull * (others - f)
	}
	s.factor = min(maxSupply, max(minSupply, f))
	s.at = now
}

func (s *supply) times(tokensPerSecond float64) float64 {
	if s.factor == 0 {
		return firstSupply * tokensPerSecond
	}
	return s.factor * tokensPerSecond
}
