// Package experiment plays a drawn load against policies of placement and admission, with modelled engines and
// routers that know of each other what their messages say.
package experiment

import (
	"container/heap"
	"math"

	"github.com/laburnumring/laburnumring"
	"github.com/laburnumring/laburnumring/internal/enginemodel"
	"github.com/laburnumring/laburnumring/internal/intake"
	"github.com/laburnumring/laburnumring/internal/margin"
	"github.com/laburnumring/laburnumring/internal/overload"
	"github.com/laburnumring/laburnumring/pkg/clock"
)

// Result is what one policy made of one load.
type Result struct {
	Policy string `json:"policy"`
	Seed   uint64 `json:"seed"`
	// Asked counts requests, InGoal those with their first token by their goal and their end in time, Late other
	// whole answers, Refused and Failed the rest.
	Asked   int `json:"asked"`
	InGoal  int `json:"in_goal"`
	Late    int `json:"late"`
	Refused int `json:"refused"`
	Failed  int `json:"failed"`
	// Owed is the part of what teams are owed, by their max-min share of the capacity over all, that was served by its
	// goal; WorstTeam is the least such part of a team.
	Owed      float64 `json:"owed"`
	WorstTeam float64 `json:"worst_team"`
	// Margin is the least part that a team began of what it was owed beside the best team in six seconds throughout which
	// some of its requests were refused or late; 1 when there are none. MarginTeam is that team.
	Margin     float64 `json:"margin"`
	MarginTeam string  `json:"margin_team"`
	// Read, Again and Kept are prompt tokens: read, read though an engine had read them, and found kept.
	Read  int64 `json:"tokens_read"`
	Again int64 `json:"tokens_read_again"`
	Kept  int64 `json:"tokens_kept"`
}

// Site is what a load is played on.
type Site struct {
	Engines int
	Engine  enginemodel.Options
	// TokensPerSecond is the configured throughput.
	TokensPerSecond float64
	// Processors is the routers' processor time in parts of a core; those beyond its length have enough.
	Processors []float64
	// Exchange is the time between two messages of a router; 100 ms when zero.
	Exchange clock.Millis
}

// Intervals of the played routers: those of the real ones.
const (
	exchangeInterval = 100 * clock.Millis(1)
	exchangeDelay    = 1 * clock.Millis(1)
)

// event is something that happens at a moment.
type event struct {
	at clock.Millis
	// order keeps events of one moment in the order in which they were added.
	order int
	do    func()
}

type events []event

// Len implements heap.Interface.
func (e events) Len() int { return len(e) }

// Less implements heap.Interface.
func (e events) Less(i, j int) bool {
	if e[i].at != e[j].at {
		return e[i].at < e[j].at
	}
	return e[i].order < e[j].order
}

// Swap implements heap.Interface.
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }

// Push implements heap.Interface.
func (e *events) Push(x any) { *e = append(*e, x.(event)) } //nolint:forcetypeassert // The heap holds nothing else.

// Pop implements heap.Interface.
func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// flight is a request on its way.
type flight struct {
	arrival
	id int64
	// firstAt and doneAt are 0 before.
	firstAt clock.Millis
	doneAt  clock.Millis
	refused bool
	engine  int
	// came is when the caller last sent the request, and returned says that this was not the first time.
	came     clock.Millis
	returned bool
}

// world is one run.
type world struct {
	site    Site
	load    Load
	policy  Policy
	now     clock.Millis
	queue   events
	count   int
	engines []*enginemodel.Engine
	// stepping says which engines have a step in progress.
	stepping []bool
	flights  map[int64]*flight
	all      []*flight
	shares   *margin.Ledger
}

// Run plays a load with a policy.
func Run(site Site, load Load, name string) (Result, error) {
	w := &world{
		site: site, load: load, stepping: make([]bool, site.Engines), flights: make(map[int64]*flight),
		shares: margin.New(),
	}
	seen := make(map[string]bool)
	for range site.Engines {
		w.engines = append(w.engines, enginemodel.New(site.Engine, seen))
	}
	p, err := newPolicy(name, w)
	if err != nil {
		return Result{}, err
	}
	w.policy = p
	for i, a := range load.arrivals() {
		f := &flight{arrival: a, id: int64(i + 1)}
		w.all = append(w.all, f)
		w.at(a.at, func() {
			w.shares.Add(f.team, second(w.now), margin.Second{Demand: int64(f.tokens())})
			w.arrive(f)
		})
	}
	end := load.Length + 20*clock.Second
	for at := overload.Interval; at < end; at += overload.Interval {
		w.at(at, w.policy.poll)
	}
	for len(w.queue) > 0 {
		e := heap.Pop(&w.queue).(event) //nolint:forcetypeassert // The heap holds nothing else.
		w.now = e.at
		e.do()
	}
	return w.result(name), nil
}

// arrive brings a request to its router.
func (w *world) arrive(f *flight) {
	f.came = w.now
	w.flights[f.id] = f
	w.policy.arrive(f)
}

func second(t clock.Millis) int64 { return int64(t / clock.Second) }

func (w *world) at(t clock.Millis, do func()) {
	w.count++
	heap.Push(&w.queue, event{at: t, order: w.count, do: do})
}

// send gives a request to an engine.
func (w *world) send(f *flight, engine int) {
	f.engine = engine
	w.engines[engine].Submit(enginemodel.Request{ID: f.id, Parts: f.parts, Output: f.output})
	if !w.stepping[engine] {
		w.step(engine, w.now)
	}
}

// step lets an engine do its next step, which begins at the given time.
func (w *world) step(engine int, from clock.Millis) {
	e := w.engines[engine]
	if e.Idle() {
		w.stepping[engine] = false
		return
	}
	w.stepping[engine] = true
	took, events := e.Step()
	end := from + clock.Millis(math.Ceil(took))
	w.at(end, func() {
		for _, v := range events {
			w.happened(v)
		}
		w.step(engine, end)
	})
}

func (w *world) happened(v enginemodel.Event) {
	f := w.flights[v.ID]
	if v.First {
		f.firstAt = w.now + clock.Millis(w.site.Engine.First)
		w.shares.Add(f.team, second(f.firstAt), margin.Second{
			Started: int64(f.tokens()), Unserved: f.firstAt-f.at > f.kind.Goal,
		})
		w.policy.started(f)
	}
	if v.Done {
		f.doneAt = w.now
		w.policy.ended(f)
		delete(w.flights, v.ID)
	}
}

// refuse tells a caller when to come back.
func (w *world) refuse(f *flight, after clock.Millis) {
	delete(w.flights, f.id)
	w.shares.Add(f.team, second(w.now), margin.Second{Unserved: true})
	if after = min(after, (f.at+f.kind.Limit-w.now)/3); w.load.Returns && !f.returned && after > 0 {
		f.returned = true
		w.at(w.now+after, func() { w.arrive(f) })
		return
	}
	f.refused = true
}

func (w *world) result(name string) Result {
	r := Result{Policy: name, Seed: w.load.Seed, Asked: len(w.all)}
	for _, f := range w.all {
		switch {
		case f.refused:
			r.Refused++
		case f.doneAt == 0 || f.doneAt-f.at > f.kind.Limit:
			r.Failed++
		case f.onTime():
			r.InGoal++
		default:
			r.Late++
		}
	}
	for _, e := range w.engines {
		s := e.Stats()
		r.Read += s.Read
		r.Again += s.Again
		r.Kept += s.Kept
	}
	r.Owed, r.WorstTeam = w.owed()
	r.Margin = 1
	if spans := w.shares.Worst(); len(spans) > 0 {
		r.Margin, r.MarginTeam = spans[0].Margin, spans[0].Team
	}
	return r
}

func (f *flight) onTime() bool {
	return !f.refused && f.firstAt > 0 && f.firstAt-f.at <= f.kind.Goal && f.doneAt > 0 &&
		f.doneAt-f.at <= f.kind.Limit
}

func (f *flight) tokens() float64 {
	n := 2 * f.output
	for _, p := range f.parts {
		n += p.Tokens
	}
	return float64(n)
}

// request returns the request as the decisions see it.
func (f *flight) request() intake.Request {
	n := int64(0)
	for _, p := range f.parts {
		n += p.Tokens
	}
	return intake.Request{
		ID: f.id, Team: f.team, Service: service, Parts: f.parts, PromptTokens: n, OutputTokens: f.kind.Output,
		Arrived: f.came, Goal: f.kind.Goal, Deadline: f.at + f.kind.Limit, Fingerprint: uint64(f.id),
	}
}

var _ heap.Interface = (*events)(nil)

// entries lists the engines as servers.
func (w *world) entries() []laburnumring.ServerEntry {
	out := make([]laburnumring.ServerEntry, 0, len(w.engines))
	for i := range w.engines {
		out = append(out, laburnumring.ServerEntry{
			ID: engineName(i), Service: service, Address: engineName(i), Slots: w.site.Engine.Slots,
			State: laburnumring.ServerReady,
		})
	}
	return out
}
