package experiment

import (
	"maps"
	"math"
	"slices"

	"github.com/laburnumring/laburnumring/internal/fairshare"
	"github.com/laburnumring/laburnumring/pkg/clock"
)

// shareWindow is the period over which the requirement compares what a team was served with its fair share.
const shareWindow = 4 * clock.Second

// entitlementServed returns the fraction of the teams' entitlement that was served on time, overall and for the worst
// team. In each window, a team is entitled to its max-min fair share of the configured throughput, and tokens beyond
// that share don't count as served.
func (w *simulation) entitlementServed() (overall, worst float64) {
	type sum struct{ entitled, served float64 }
	teams := make(map[string]*sum)
	windows := make(map[clock.Millis][]*simRequest)
	for _, f := range w.requests {
		windows[f.at/shareWindow] = append(windows[f.at/shareWindow], f)
	}
	for _, n := range slices.Sorted(maps.Keys(windows)) {
		requests := windows[n]
		demand := make(map[string]fairshare.Rates)
		onTime := make(map[string]float64)
		for _, f := range requests {
			demand[f.team] = fairshare.Rates{Demand: demand[f.team].Demand + f.tokens()}
			if f.onTime() {
				onTime[f.team] += f.tokens()
			}
		}
		fairRate := fairshare.FairRate(w.site.TokensPerSecond*shareWindow.Duration().Seconds(), demand)
		for team, r := range demand {
			if teams[team] == nil {
				teams[team] = &sum{}
			}
			share := min(r.Demand, fairRate)
			teams[team].entitled += share
			teams[team].served += min(share, onTime[team])
		}
	}
	worst = math.Inf(1)
	total := sum{}
	for _, name := range slices.Sorted(maps.Keys(teams)) {
		s := teams[name]
		total.entitled += s.entitled
		total.served += s.served
		worst = min(worst, s.served/s.entitled)
	}
	return total.served / total.entitled, worst
}
