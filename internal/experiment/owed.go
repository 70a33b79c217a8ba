package experiment

import (
	"maps"
	"math"
	"slices"

	"github.com/laburnumring/laburnumring/internal/fairshare"
	"github.com/laburnumring/laburnumring/pkg/clock"
)

// shareWindow is the window over which teams' shares are taken: the users' own.
const shareWindow = 4 * clock.Second

// owed returns the served part of what teams are owed, over all and for the worst team. In each window a team is owed
// its max-min share of the configured throughput, and what it got on time counts up to that.
func (w *world) owed() (all, worst float64) {
	type sum struct{ owed, got float64 }
	teams := make(map[string]*sum)
	windows := make(map[clock.Millis][]*flight)
	for _, f := range w.all {
		windows[f.at/shareWindow] = append(windows[f.at/shareWindow], f)
	}
	for _, n := range slices.Sorted(maps.Keys(windows)) {
		flights := windows[n]
		asked := make(map[string]fairshare.Rates)
		got := make(map[string]float64)
		for _, f := range flights {
			asked[f.team] = fairshare.Rates{Demand: asked[f.team].Demand + f.tokens()}
			if f.onTime() {
				got[f.team] += f.tokens()
			}
		}
		level := fairshare.FairRate(w.site.TokensPerSecond*shareWindow.Duration().Seconds(), asked)
		for team, r := range asked {
			if teams[team] == nil {
				teams[team] = &sum{}
			}
			share := min(r.Demand, level)
			teams[team].owed += share
			teams[team].got += min(share, got[team])
		}
	}
	worst = math.Inf(1)
	total := sum{}
	for _, name := range slices.Sorted(maps.Keys(teams)) {
		s := teams[name]
		total.owed += s.owed
		total.got += s.got
		worst = min(worst, s.got/s.owed)
	}
	return total.got / total.owed, worst
}
