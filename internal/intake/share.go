package intake

import (
	"math"

	"github.com/laburnumring/laburnumring/internal/fairshare"
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
	// retriedShare is the fraction of its team's fair rate up to which a retried request is served.
	retriedShare = 0.8
)

// maxCarryOver is the most that a team's usage from before a shortage counts, as a multiple of the fair rate.
const maxCarryOver = 1.3

// fairRate returns the max-min fair rate of a service's engines. What a team received while capacity sufficed for all
// counts against it only up to maxCarryOver.
func (c *Controller) fairRate(now clock.Millis, v *view, service string) float64 {
	if rate, ok := v.fairRates[service]; ok {
		return rate
	}
	rate := math.Inf(1)
	if configured := c.table.Limits().TokensPerSecond; configured > 0 {
		tokens := c.factor(now, service) * configured
		rate = fairshare.FairRate(c.usableFraction(now, service, tokens)*tokens, v.teams)
	}
	if c.capacity(service).shortage.update(now, !math.IsInf(rate, 1)) {
		c.ledger.Forgive(now, maxCarryOver*rate, v.teams)
	}
	v.fairRates[service] = rate
	return rate
}

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
