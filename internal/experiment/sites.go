package experiment

import (
	"github.com/laburnumring/laburnumring/internal/enginemodel"
	"github.com/laburnumring/laburnumring/pkg/clock"
)

// Crowded returns the site and load on which policies are compared: sixteen teams, some of which flood in turns, offer
// nine engines nearly three times their configured throughput.
func Crowded(seed uint64) (Site, Load) {
	site := Site{
		Engines: 9, TokensPerSecond: 400_000,
		Engine: enginemodel.Options{
			Slots: 128, Step: 3.2, StepPerSlot: 0.048, StepPerContext: 0.0015, PromptRate: 112, PairTime: 0.15,
			Chunk: 4096, FirstTokenDelay: 47, Memory: 900_000,
		},
	}
	load := Load{
		Seed: seed, Teams: 16, Skew: 1.0, Length: 20 * clock.Second, Routers: 4,
		Kinds: []Kind{
			{
				Name: "review", PerSecond: 55, Prefix: 512, Prefixes: 1, Shared: 4900, SharedParts: 97, Own: 6600, Output: 380,
				Goal: 600, Limit: 15 * clock.Second,
			},
			{
				Name: "note", PerSecond: 100, Prefix: 120, Prefixes: 20, Shared: 80, SharedParts: 260, Own: 630, Output: 290,
				Goal: 400, Limit: 12 * clock.Second,
			},
			{
				Name: "tag", PerSecond: 90, Prefix: 340, Prefixes: 8, Shared: 230, SharedParts: 350, Own: 1800, Output: 23,
				Goal: 400, Limit: 3 * clock.Second,
			},
		},
		Bursts: []Burst{
			{Team: 5, From: 4 * clock.Second, To: 10 * clock.Second, Factor: 8},
			{Team: 2, From: 9 * clock.Second, To: 15 * clock.Second, Factor: 4},
			{Team: 7, From: 12 * clock.Second, To: 18 * clock.Second, Factor: 8},
		},
	}
	return site, load
}

// LongPrompts returns a site of forty engines of two speeds and twenty routers that know each other's prompts 100 to
// 300 ms late. Long prompts are read beside many short streams. The rates are those at full use, times the given
// utilisation.
func LongPrompts(seed uint64, utilisation float64) (Site, Load) {
	site, load := Crowded(seed)
	site.Engines, site.SlowEngines, site.Slowness, site.TokensPerSecond = 40, 20, 1.5, 2_000_000
	site.Exchange, site.ReportDelay = 200, 100
	site.Engine.EventTokens = 7
	load.Routers, load.Bursts = 20, nil
	load.Kinds = []Kind{
		{
			Name: "review", PerSecond: 150 * utilisation, Prefix: 512, Prefixes: 1, Shared: 4900, SharedParts: 97, Own: 6600,
			Spread: 1.4, MaxOwn: 54_600, Output: 380, Goal: 1500, Limit: 30 * clock.Second, PauseGoal: 500,
		},
		{
			Name: "note", PerSecond: 600 * utilisation, Prefix: 120, Prefixes: 20, Shared: 80, SharedParts: 260, Own: 400,
			Output: 290, Goal: 600, Limit: 20 * clock.Second, PauseGoal: 400,
		},
	}
	return site, load
}

// StickyBursts returns a site of twelve routers behind a balancer that keeps the connections of one client on one
// router. Each of four teams floods through a single router, three of which have little CPU time, while a fifth team
// floods through all.
func StickyBursts(seed uint64) (Site, Load) {
	site, load := Crowded(seed)
	site.Engines, site.TokensPerSecond, site.Exchange = 51, 1_900_000, 300
	site.Processors = []float64{0.144, 0.144, 0.144, 0.8}
	load.Routers, load.Retries = 12, true
	for i, perSecond := range []float64{40, 240, 280} {
		load.Kinds[i].PerSecond = perSecond
	}
	load.Bursts = []Burst{
		{Team: 4, From: 3 * clock.Second, To: 12 * clock.Second, Factor: 20, Router: 1},
		{Team: 6, From: 5 * clock.Second, To: 14 * clock.Second, Factor: 28, Router: 2},
		{Team: 3, From: 8 * clock.Second, To: 16 * clock.Second, Factor: 15, Router: 3},
		{Team: 2, From: 4 * clock.Second, To: 15 * clock.Second, Factor: 10, Router: 4},
		{Team: 1, From: 6 * clock.Second, To: 18 * clock.Second, Factor: 6},
	}
	return site, load
}
