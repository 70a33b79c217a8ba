package intake

import (
	"math"

	"github.com/laburnumring/laburnumring/pkg/clock"
)

const (
	// minShare is the fraction of its fair rate, or of its arriving tokens if those are fewer, up to which a team's
	// requests are not held back, neither for this router's lack of processor time nor for what the team received
	// seconds ago. The requirement compares teams second by second: each must get at least half of what the best one
	// got.
	minShare = 0.8
	// peakShare is the fraction of its fair rate above which a team with more demand is held back, even if it received
	// less over a longer time: the others are entitled to as much as one team gets in a second.
	peakShare = 1.25
	// urgentShare is the fraction of its fair rate below which an underserved team's late requests are served before
	// requests of other teams that can be on time.
	urgentShare = 0.6
)

// standing is how the tokens that a team received compare with its fair share.
type standing struct {
	// recent is the team's rate over a short time, in tokens per second, as far as this router can tell.
	recent float64
	// underserved is set if the team recently received less than minShare, overShare if it received more than its
	// share.
	underserved bool
	overShare   bool
	// urgent is set if an underserved team also received too little over a longer time, so that its requests are sent
	// even if they will be late.
	urgent bool
}

// standing compares a team's rates with the fair rate. limit is the rate up to which the request is served; at most
// fairRate.
func (c *Controller) standing(now clock.Millis, v *view, team string, fairRate, limit float64) standing {
	total := v.teams[team]
	recent := total.Recent
	over := total.Served > limit
	if fraction, own := c.ledger.LocalFraction(now, team); fraction > 0 && (over || recent >= minShare*fairRate) {
		// Peer reports lag behind what many routers together may send in the meantime. Each router therefore assumes
		// that the others serve the same fraction of the requests that arrive at them as it serves itself.
		recent = max(recent, own.Recent/fraction)
	}
	s := standing{recent: recent, underserved: recent < minShare*min(fairRate, total.Arrived)}
	s.urgent = s.underserved && !math.IsInf(fairRate, 1) && total.Served < urgentShare*fairRate
	s.overShare = !s.underserved && (over || total.Demand > fairRate && recent > peakShare*fairRate)
	return s
}
