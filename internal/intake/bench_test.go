package intake_test

import (
	"fmt"
	"testing"

	"github.com/laburnumring/laburnumring"
	"github.com/laburnumring/laburnumring/internal/fairshare"
	"github.com/laburnumring/laburnumring/internal/intake"
	"github.com/laburnumring/laburnumring/internal/routing"
	"github.com/laburnumring/laburnumring/pkg/clock"
)

// BenchmarkSubmit measures a decision at one of 28 routers that share 51 engines among 30 teams, with the peers'
// reports that arrive meanwhile.
func BenchmarkSubmit(b *testing.B) {
	const peers, engines, teams = 27, 51, 30
	c := intake.New(intake.Options{Place: "a"})
	c.Configure(routing.New(routing.Options{
		Version: 1, Limits: routing.Limits{TokensPerSecond: 2_000_000},
		Services: []routing.Service{{Name: "llm", IsEngine: true, Slots: 64, KVTokens: 500_000, EventTokens: 8}},
	}))
	var entries []laburnumring.ServerEntry
	report := intake.Report{
		Servers: make(map[intake.ServerKey]intake.Load), Teams: make(map[string]fairshare.Rates),
		CapacityFactors: map[string]float64{"llm": 1.5},
	}
	for i := range engines {
		id := fmt.Sprintf("engine-%02d", i)
		entries = append(entries, laburnumring.ServerEntry{
			ID: id, Service: "llm", Place: "a", Address: fmt.Sprintf("10.0.0.%d:80", i), Born: 1,
			State: laburnumring.ServerReady,
		})
		report.Servers[intake.KeyOf(id)] = intake.Load{Running: 1, Queued: 500, Memory: 4000}
	}
	for i := range teams {
		report.Teams[fmt.Sprintf("team-%02d", i)] = fairshare.Rates{Demand: 2000, Served: 1000}
	}
	c.SetServers(entries)
	b.ReportAllocs()
	i := int64(0)
	for b.Loop() {
		i++
		now := clock.Millis(10 * i)
		if i%2 == 0 {
			c.Merge(now, fmt.Sprintf("peer-%02d", i/2%peers), report)
		}
		c.Submit(now, intake.Request{
			ID: i, Team: fmt.Sprintf("team-%02d", i%teams), Service: "llm", PromptTokens: 2000, OutputTokens: 100,
			Parts:   []laburnumring.PromptPart{{ID: fmt.Sprint("part", i%200), Tokens: 1500}, {ID: fmt.Sprint("own", i), Tokens: 500}},
			Arrived: now, Goal: 400, Deadline: now + 10_000, Fingerprint: uint64(i),
		})
		c.Started(now+100, i)
		c.Ended(now+200, i, intake.Whole)
	}
}
