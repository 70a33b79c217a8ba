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

// newBusy returns the controller of one of several routers that share engines among teams, and the report that each of
// its peers sends. The load of running requests on each engine is given.
func newBusy(engines, teams, slots, running int) (*intake.Controller, intake.Report) {
	c := intake.New(intake.Options{Place: "a"})
	c.Configure(routing.New(routing.Options{
		Version: 1, Limits: routing.Limits{TokensPerSecond: 2_000_000},
		Services: []routing.Service{{Name: "llm", IsEngine: true, Slots: slots, KVTokens: 500_000, EventTokens: 8}},
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
		report.Servers[intake.KeyOf(id)] = intake.Load{Running: running, Queued: 500, Memory: 4000}
	}
	for i := range teams {
		report.Teams[fmt.Sprintf("team-%02d", i)] = fairshare.Rates{Demand: 2000, Served: 1000}
	}
	c.SetServers(entries)
	return c, report
}

// BenchmarkSubmit measures a decision at one of 28 routers that share 51 engines among 30 teams, with the peers'
// reports that arrive meanwhile.
func BenchmarkSubmit(b *testing.B) {
	const peers, engines, teams = 27, 51, 30
	c, report := newBusy(engines, teams, 64, 1)
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
		c.Withdraw(i)
	}
}

// waiting is the number of requests in the backlogs of BenchmarkPoll and TestPollIsBounded, as many as waited at one
// router of a large site in a flood.
const waiting = 150

// fillBacklog has requests of several teams, with the given time to their deadline, wait for engines that have no free
// slots.
func fillBacklog(c *intake.Controller, report intake.Report, now, timeout clock.Millis) {
	c.Merge(now, "peer", report)
	for i := range int64(waiting) {
		c.Submit(now, intake.Request{
			ID: i, Team: fmt.Sprintf("team-%02d", i%7), Service: "llm", PromptTokens: 2000, OutputTokens: 100,
			Parts:   []laburnumring.PromptPart{{ID: fmt.Sprint("part", i), Tokens: 1990}, {ID: fmt.Sprint("own", i), Tokens: 10}},
			Arrived: now, Goal: 400, Deadline: now + timeout, Fingerprint: uint64(i),
		})
	}
}

// BenchmarkPoll measures a poll of a backlog and a report of a peer at one of 68 routers that share 93 engines among 60 teams.
func BenchmarkPoll(b *testing.B) {
	c, report := newBusy(93, 60, 12, 12)
	fillBacklog(c, report, 1, 1<<40)
	b.ReportAllocs()
	now := clock.Millis(1)
	for b.Loop() {
		now += 10
		c.Merge(now, "peer", report)
		c.Poll(now)
	}
	if c.Waiting() != waiting {
		b.Fatalf("%d requests wait, want %d", c.Waiting(), waiting)
	}
}
