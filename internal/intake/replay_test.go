package intake_test

import (
	"crypto/sha256"
	"fmt"
	"hash"
	"maps"
	"math/rand/v2"
	"runtime"
	"slices"
	"strings"

	"github.com/cockroachdb/datadriven"

	"github.com/laburnumring/laburnumring"
	"github.com/laburnumring/laburnumring/internal/fairshare"
	"github.com/laburnumring/laburnumring/internal/intake"
	"github.com/laburnumring/laburnumring/internal/ratelimit"
	"github.com/laburnumring/laburnumring/pkg/clock"
)

// replay runs a random sequence of requests, events and reports against a controller. It prints how many requests were
// sent, waited and were refused for each reason, and a digest of all decisions with their figures, of the reports and
// of the usage. It guards against changes of behaviour by changes that only move or restructure code.
type replay struct {
	*rand.Rand
	c      *intake.Controller
	now    clock.Millis
	id     int64
	digest hash.Hash
	counts map[string]int
	// requests holds the submitted requests, live the ids of those at servers and refused those that may be retried.
	requests map[int64]intake.Request
	live     []int64
	refused  []intake.Request
	// demand is the tokens per second that the peers report for each team, loaded the slots in use at the engines.
	demand, loaded, limited int
}

const replayEngines, replayApps, replayTeams = 6, 2, 5

func runReplay(d *datadriven.TestData, seed uint64, steps int) string {
	p := &replay{
		Rand: rand.New(rand.NewPCG(seed, 1)), c: newController(), now: 1000, digest: sha256.New(),
		counts: make(map[string]int), requests: make(map[int64]intake.Request),
	}
	p.setServers(true)
	p.c.SetAdmitted(map[uint64]bool{replayVersion(0): true, replayVersion(1): true})
	for i := range steps {
		if i%200 == 0 {
			p.changeConditions()
		}
		p.now += clock.Millis(p.IntN(12))
		p.step()
	}
	p.notef("%+v", p.c.Report(p.now))
	usage := p.c.TakeUsage()
	for _, team := range slices.Sorted(maps.Keys(usage)) {
		p.notef("%s %+v", team, *usage[team])
	}
	var out strings.Builder
	for _, k := range slices.Sorted(maps.Keys(p.counts)) {
		fmt.Fprintf(&out, "%s %d\n", k, p.counts[k])
	}
	digest := "digest " + runtime.GOARCH + " rounded"
	if fused(1+1.0/(1<<30), 1-1.0/(1<<30), -1) {
		digest = "digest " + runtime.GOARCH + " fused"
	}
	fmt.Fprintf(&out, "%s %x\n", digest, p.digest.Sum(nil)[:8])
	if d.Expected != "" && !strings.Contains(d.Expected, digest) && sameReasons(out.String(), d.Expected) {
		// Other processors, and compilers that fuse x*y+z into one rounding, round differently, which changes single decisions and then all that follow.
		return d.Expected
	}
	return out.String()
}

// fused reports whether the compiled program rounds x*y+z once. The product of the arguments is not exact.
//
//go:noinline
func fused(x, y, z float64) bool { return x*y+z != float64(x*y)+z }

// sameReasons reports whether two outputs of runReplay list the same reasons.
func sameReasons(a, b string) bool {
	names := func(out string) (names []string) {
		for line := range strings.Lines(out) {
			names = append(names, strings.Fields(line)[0])
		}
		return names
	}
	return slices.Equal(names(a), names(b))
}

// notef adds a text to the digest.
func (p *replay) notef(format string, args ...any) { _, _ = fmt.Fprintf(p.digest, format, args...) }

func replayVersion(i int) uint64 {
	return laburnumring.SoftwareVersion{Service: "llm", Version: fmt.Sprint("v", i)}.Key()
}

func (p *replay) chance(percent int) bool { return p.IntN(100) < percent }

func (p *replay) engine() string { return fmt.Sprint("e", p.IntN(replayEngines)) }

// setServers lists all servers, or leaves some out and has some restart.
func (p *replay) setServers(all bool) {
	var list []laburnumring.ServerEntry
	for i := range replayEngines + replayApps {
		if !all && p.chance(20) {
			continue
		}
		e := laburnumring.ServerEntry{
			ID: fmt.Sprint("e", i), Service: "llm", Place: []string{"a", "b"}[i%2], Slots: 4 * (i % 3), Address: fmt.Sprint(i),
			Version: fmt.Sprint("v", i%3), State: laburnumring.ServerReady,
		}
		if i >= replayEngines {
			e.ID, e.Service, e.Version = fmt.Sprint("a", i), "app", ""
		}
		if !all && p.chance(20) {
			e.Born = int64(p.now)
		}
		list = append(list, e)
	}
	p.c.SetServers(list)
}

// changeConditions sets demand, loads and lacks that last for some time.
func (p *replay) changeConditions() {
	p.demand = []int{500, 20_000, 80_000, 200_000}[p.IntN(4)]
	p.loaded = []int{1, 4, 8, 12}[p.IntN(4)]
	p.limited = []int{0, 0, 30}[p.IntN(3)]
	p.c.SetBusy(p.chance(30))
	p.c.SetLag(clock.Millis(20 * p.IntN(2)))
	p.c.SetAdmitted(nil)
	if p.chance(85) {
		p.c.SetAdmitted(map[uint64]bool{replayVersion(0): true, replayVersion(1): true})
	}
	switch p.IntN(6) {
	case 0:
		p.setServers(false)
	case 1:
		p.setServers(true)
	case 2:
		p.c.SetServers(nil)
		p.record(p.c.Submit(p.now, p.request()))
		p.setServers(true)
	case 3:
		for i := range replayEngines {
			p.c.Pause(fmt.Sprint("e", i), p.now+clock.Millis(p.IntN(500)))
		}
	case 4:
		for i := range replayEngines {
			p.c.Unreachable(p.now, fmt.Sprint("e", i))
		}
	case 5:
		for range 200 {
			r := p.request()
			r.Service, r.Stream = "app", false
			p.record(p.c.Submit(p.now, r))
		}
	}
}

func (p *replay) step() {
	switch n := p.IntN(100); {
	case n < 45:
		p.record(p.c.Submit(p.now, p.request()))
	case n < 60:
		for _, d := range p.c.Poll(p.now) {
			p.record(d, true)
		}
	case n < 80:
		p.progress()
	case n < 92:
		p.merge()
	case n < 94:
		p.c.Withdraw(p.id - p.Int64N(20))
	case n < 96:
		id := p.engine()
		p.notef("%v\n", p.c.Accepts(p.now, id))
		p.c.ObserveLimit(p.now, p.now-20, id, laburnumring.RateLimit{
			Known: true, Limited: p.chance(2 * p.limited), PerSecond: 4,
		})
	case n < 97:
		p.c.Unreachable(p.now, p.engine())
	case n < 98:
		p.c.Pause(p.engine(), p.now+100)
	default:
		p.notef("%+v", p.c.Report(p.now))
	}
}

// request returns a new request, or the retry of a refused one.
func (p *replay) request() intake.Request {
	p.id++
	if n := len(p.refused); n > 0 && p.chance(25) {
		r := p.refused[p.IntN(n)]
		r.ID, r.Arrived, r.Deadline = p.id, p.now, p.now+r.Deadline-r.Arrived
		return r
	}
	r := intake.Request{
		ID: p.id, Team: fmt.Sprint("team-", p.IntN(replayTeams)), Service: "llm", OutputTokens: p.Int64N(400),
		Arrived: p.now - clock.Millis(p.IntN(20)), Goal: clock.Millis(200 + p.IntN(1500)), Fingerprint: uint64(p.id),
		Committed: p.chance(5), TakenUp: p.chance(5), Stream: p.chance(40),
	}
	r.Deadline = r.Arrived + clock.Millis(5+p.IntN(9000))
	if p.chance(15) {
		r.Service, r.Stream = "app", false
		return r
	}
	if p.chance(80) {
		shared := p.Int64N(8)
		r.Parts = append(r.Parts, laburnumring.PromptPart{ID: "system", Tokens: 100},
			laburnumring.PromptPart{ID: fmt.Sprint("shared", shared), Tokens: 500 * shared})
	}
	r.Parts = append(r.Parts, laburnumring.PromptPart{ID: fmt.Sprint("own", p.id), Tokens: 1 + p.Int64N(10)*p.Int64N(600)})
	for _, part := range r.Parts {
		r.PromptTokens += part.Tokens
	}
	if r.Stream && p.chance(20) {
		r.Software = replayVersion(p.IntN(4))
	}
	p.requests[r.ID] = r
	return r
}

// record counts a decision and adds it to the digest.
func (p *replay) record(d intake.Decision, decided bool) {
	what := "sent"
	switch {
	case !decided:
		what = "waits"
	case d.Refusal != nil:
		what = d.Refusal.Reason
		p.refused = append(p.refused[max(0, len(p.refused)-20):], p.requests[d.Request])
		if p.requests[d.Request].ID == 0 {
			p.refused = p.refused[:len(p.refused)-1]
		}
		p.notef("%+v", *d.Refusal)
	default:
		p.live = append(p.live, d.Request)
	}
	p.counts[what]++
	// Without a pause goal, the figures of pauses are 0 and not part of the digest.
	basis := strings.Replace(fmt.Sprintf("%+v", d.Basis), " Pause:0 PauseCost:0", "", 1)
	p.notef("%d %s %s %v %s\n", d.Request, what, d.Server.ID, d.Underserved, basis)
}

// progress has a request at a server begin, go on, end, or go on at another server.
func (p *replay) progress() {
	if len(p.live) == 0 {
		return
	}
	i := p.IntN(len(p.live))
	id := p.live[i]
	switch p.IntN(5) {
	case 0, 1:
		p.c.Started(p.now, id)
		p.c.Progress(id, 1+p.IntN(4), clock.Millis(5+p.IntN(40)))
		return
	case 2, 3:
		p.c.Ended(p.now, id, intake.Whole)
	case 4:
		p.c.Ended(p.now, id, intake.Result(2+p.IntN(4)))
	}
	p.live = slices.Delete(p.live, i, i+1)
	if r, ok := p.requests[id]; ok && p.chance(30) {
		r.Tried = append(slices.Clone(r.Tried), p.engine())
		r.Committed = r.Committed || p.chance(20)
		p.requests[id] = r
		p.record(p.c.Resubmit(p.now, r))
	}
}

// merge merges a peer's report.
func (p *replay) merge() {
	r := intake.Report{
		Servers: make(map[intake.ServerKey]intake.Load), Teams: make(map[string]fairshare.Rates),
		CapacityFactors: map[string]float64{"llm": 0.8 + p.Float64()}, Refused: []uint32{uint32(p.id - p.Int64N(5))},
		Demand: map[string]float64{"llm": float64(p.IntN(50))},
		Costs:  map[string]intake.Cost{"llm": {Tokens: 100_000, Requests: 20_000}},
	}
	for i := range replayEngines + replayApps {
		id := fmt.Sprint("e", i)
		if i >= replayEngines {
			id = fmt.Sprint("a", i)
		}
		r.Servers[intake.KeyOf(id)] = intake.Load{
			Running: p.IntN(1 + p.loaded), Queued: p.Int64N(int64(1 + 400*p.loaded)), Memory: p.Int64N(int64(1 + 4000*p.loaded)),
		}
		if p.chance(p.limited) {
			r.Limits = append(r.Limits, ratelimit.Entry{Server: uint32(intake.KeyOf(id)), PerSecond: float64(p.IntN(10))})
		}
	}
	for i := range replayTeams {
		demand := float64(p.IntN(1 + p.demand))
		served := demand * p.Float64()
		r.Teams[fmt.Sprint("team-", i)] = fairshare.Rates{
			Demand: demand, Served: served, Arrived: demand, Recent: served * 2 * p.Float64(),
		}
	}
	p.c.Merge(p.now, fmt.Sprint("peer", p.IntN(3)), r.WithDelay(clock.Millis(p.IntN(300))))
}
