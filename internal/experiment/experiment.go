// Package experiment simulates a randomly drawn load under different policies of placement and admission. The engines
// are simulated, the routers run the real controllers, and a router knows of the others only what their messages
// report.
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

// Result is the outcome of one run.
type Result struct {
	Policy string `json:"policy"`
	Seed   uint64 `json:"seed"`
	// Asked counts all requests. InGoal counts those that met their latency goal and ended within their limit, Late
	// those that ended within their limit but missed the goal, Refused the refused ones and Failed the rest.
	Asked   int `json:"asked"`
	InGoal  int `json:"in_goal"`
	Late    int `json:"late"`
	Refused int `json:"refused"`
	Failed  int `json:"failed"`
	// EntitlementServed is the fraction of the teams' entitlement, their max-min fair share of the configured
	// throughput, that was served within the latency goal. WorstTeam is the smallest such fraction of any team.
	EntitlementServed float64 `json:"owed"`
	WorstTeam         float64 `json:"worst_team"`
	// Margin is the smallest ratio of a team's started tokens to its entitlement, measured against the best team, over
	// the periods of six seconds throughout which some of the team's requests were refused or late; 1 if there are
	// none. MarginTeam is the team with that ratio. See package margin.
	Margin     float64 `json:"margin"`
	MarginTeam string  `json:"margin_team"`
	// Read counts prefilled prompt tokens, PrefilledAgain those of them that an engine had prefilled before, and Cached
	// the prompt tokens that were found in an engine's cache.
	Read           int64 `json:"tokens_read"`
	PrefilledAgain int64 `json:"tokens_read_again"`
	Cached         int64 `json:"tokens_kept"`
	// PauseLate counts the answers that began within the latency goal and had a pause beyond their pause goal.
	PauseLate int `json:"pause_late"`
	// AskedTokens, LateTokens and RefusedTokens are the tokens of all requests, of those that are late for their first
	// token or a pause, and of those that were refused or failed.
	AskedTokens   float64 `json:"asked_tokens"`
	LateTokens    float64 `json:"late_tokens"`
	RefusedTokens float64 `json:"refused_tokens"`
}

// Site describes the simulated engines and routers.
type Site struct {
	Engines int
	Engine  enginemodel.Options
	// SlowEngines is the number of engines that take Slowness times as long for everything.
	SlowEngines int
	Slowness    float64
	// TokensPerSecond is the configured throughput of all engines together.
	TokensPerSecond float64
	// Processors holds the CPU time of each router as a fraction of a core. Routers beyond its length have unlimited
	// CPU time.
	Processors []float64
	// Exchange is the interval at which each router reports to the others; 100 ms if zero.
	Exchange clock.Millis
	// ReportDelay is the time that a report takes to arrive; 1 ms if zero.
	ReportDelay clock.Millis
}

// engine returns the options of engine i.
func (s Site) engine(i int) enginemodel.Options {
	o := s.Engine
	if i < s.SlowEngines {
		o.Step *= s.Slowness
		o.StepPerSlot *= s.Slowness
		o.StepPerContext *= s.Slowness
		o.PromptRate /= s.Slowness
		o.PairTime *= s.Slowness
	}
	return o
}

const (
	// exchangeInterval is the interval at which routers report to each other if Site.Exchange is zero, the same as that
	// of the real routers. exchangeDelay is the time that a report takes to arrive if Site.ReportDelay is zero.
	exchangeInterval = 100 * clock.Millis(1)
	exchangeDelay    = 1 * clock.Millis(1)
)

// event is an action scheduled for a point in simulated time.
type event struct {
	at clock.Millis
	// order makes events of the same time run in the order in which they were scheduled.
	order int
	do    func()
}

// events is a heap of scheduled events, the earliest first.
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

// simRequest is the state of one request of the load.
type simRequest struct {
	arrival
	id int64
	// firstAt is the time of the first token and doneAt that of the last; 0 until then.
	firstAt clock.Millis
	doneAt  clock.Millis
	// longestPause is the longest time between two events, in milliseconds.
	longestPause float64
	refused      bool
	engine       int
	// submittedAt is the time at which the request reached its router's controller, in its latest attempt, and retried
	// is set once the client has repeated it after a refusal.
	submittedAt clock.Millis
	retried     bool
}

// simulation is the state of one run. Its fields are used by one goroutine.
type simulation struct {
	site      Site
	load      Load
	policy    Policy
	now       clock.Millis
	queue     events
	scheduled int
	engines   []*enginemodel.Engine
	// stepping holds, by engine, whether a step is in progress.
	stepping []bool
	inFlight map[int64]*simRequest
	requests []*simRequest
	ledger   *margin.Ledger
}

// Run simulates a load under the named policy. The result depends on its arguments alone. It fails if the policy is
// unknown.
func Run(site Site, load Load, name string) (Result, error) {
	w := &simulation{
		site: site, load: load, stepping: make([]bool, site.Engines), inFlight: make(map[int64]*simRequest),
		ledger: margin.New(),
	}
	seen := make(map[string]bool)
	for i := range site.Engines {
		w.engines = append(w.engines, enginemodel.New(site.engine(i), seen))
	}
	p, err := newPolicy(name, w)
	if err != nil {
		return Result{}, err
	}
	w.policy = p
	for i, a := range load.arrivals() {
		f := &simRequest{arrival: a, id: int64(i + 1)}
		w.requests = append(w.requests, f)
		w.schedule(a.at, func() {
			w.ledger.Add(f.team, second(w.now), margin.Second{Demand: int64(f.tokens())})
			w.arrive(f)
		})
	}
	end := load.Length + 20*clock.Second
	for at := overload.Interval; at < end; at += overload.Interval {
		w.schedule(at, w.policy.poll)
	}
	for len(w.queue) > 0 {
		e := heap.Pop(&w.queue).(event) //nolint:forcetypeassert // The heap holds nothing else.
		w.now = e.at
		e.do()
	}
	return w.result(name), nil
}

// arrive delivers a request to its router, for the first time or as a retry.
func (w *simulation) arrive(f *simRequest) {
	f.submittedAt = w.now
	w.inFlight[f.id] = f
	w.policy.arrive(f)
}

// second returns the number of the second that contains t.
func second(t clock.Millis) int64 { return int64(t / clock.Second) }

// schedule makes do run at time t.
func (w *simulation) schedule(t clock.Millis, do func()) {
	w.scheduled++
	heap.Push(&w.queue, event{at: t, order: w.scheduled, do: do})
}

// send submits a request to an engine, and starts the engine's next step if it was idle.
func (w *simulation) send(f *simRequest, engine int) {
	f.engine = engine
	w.engines[engine].Submit(enginemodel.Request{ID: f.id, Parts: f.parts, Output: f.output})
	if !w.stepping[engine] {
		w.step(engine, w.now)
	}
}

// step runs an engine's next step, which starts at the given time, and schedules the one after it.
func (w *simulation) step(engine int, from clock.Millis) {
	e := w.engines[engine]
	if e.Idle() {
		w.stepping[engine] = false
		return
	}
	w.stepping[engine] = true
	took, events := e.Step()
	end := from + clock.Millis(math.Ceil(took))
	w.schedule(end, func() {
		for _, v := range events {
			w.handleEngineEvent(v)
		}
		w.step(engine, end)
	})
}

// handleEngineEvent records a request's first or last token and tells the policy.
func (w *simulation) handleEngineEvent(v enginemodel.Event) {
	f := w.inFlight[v.ID]
	if v.First {
		f.firstAt = w.now + clock.Millis(w.site.Engine.FirstTokenDelay)
		w.ledger.Add(f.team, second(f.firstAt), margin.Second{
			Started: int64(f.tokens()), Unserved: f.firstAt-f.at > f.kind.Goal,
		})
		w.policy.started(f)
	}
	if v.Done {
		f.doneAt, f.longestPause = w.now, v.LongestPause
		w.policy.ended(f)
		delete(w.inFlight, v.ID)
	}
}

// refuse refuses a request. If the load has clients retry, the client repeats it once: after the given time, but no
// later than a third of the time that is left until the request's limit.
func (w *simulation) refuse(f *simRequest, after clock.Millis) {
	delete(w.inFlight, f.id)
	w.ledger.Add(f.team, second(w.now), margin.Second{Unserved: true})
	if after = min(after, (f.at+f.kind.Limit-w.now)/3); w.load.Retries && !f.retried && after > 0 {
		f.retried = true
		w.schedule(w.now+after, func() { w.arrive(f) })
		return
	}
	f.refused = true
}

// result sums up the finished run.
func (w *simulation) result(name string) Result {
	r := Result{Policy: name, Seed: w.load.Seed, Asked: len(w.requests)}
	for _, f := range w.requests {
		switch {
		case f.refused:
			r.Refused++
			r.RefusedTokens += f.tokens()
		case f.doneAt == 0 || f.doneAt-f.at > f.kind.Limit:
			r.Failed++
			r.RefusedTokens += f.tokens()
		case f.onTime():
			r.InGoal++
			if f.pausedLong() {
				r.PauseLate++
				r.LateTokens += f.tokens()
			}
		default:
			r.Late++
			r.LateTokens += f.tokens()
		}
		r.AskedTokens += f.tokens()
	}
	for _, e := range w.engines {
		s := e.Stats()
		r.Read += s.Read
		r.PrefilledAgain += s.PrefilledAgain
		r.Cached += s.Cached
	}
	r.EntitlementServed, r.WorstTeam = w.entitlementServed()
	r.Margin = 1
	if spans := w.ledger.Worst(); len(spans) > 0 {
		r.Margin, r.MarginTeam = spans[0].Margin, spans[0].Team
	}
	return r
}

// onTime reports whether a request met its latency goal and ended within its limit.
func (f *simRequest) onTime() bool {
	return !f.refused && f.firstAt > 0 && f.firstAt-f.at <= f.kind.Goal && f.doneAt > 0 &&
		f.doneAt-f.at <= f.kind.Limit
}

// pausedLong reports whether a pause between two events was longer than the pause goal.
func (f *simRequest) pausedLong() bool {
	return f.kind.PauseGoal > 0 && f.longestPause > float64(f.kind.PauseGoal)
}

// tokens returns the cost of a request in tokens: its prompt tokens and twice its output tokens.
func (f *simRequest) tokens() float64 {
	n := 2 * f.output
	for _, p := range f.parts {
		n += p.Tokens
	}
	return float64(n)
}

// request returns the request as the router's controller sees it. The output is the mean of its kind, because a router
// doesn't know the real length in advance.
func (f *simRequest) request() intake.Request {
	n := int64(0)
	for _, p := range f.parts {
		n += p.Tokens
	}
	return intake.Request{
		ID: f.id, Team: f.team, Service: service, Parts: f.parts, PromptTokens: n, OutputTokens: f.kind.Output,
		Arrived: f.submittedAt, Goal: f.kind.Goal, Deadline: f.at + f.kind.Limit, Fingerprint: uint64(f.id),
	}
}

var _ heap.Interface = (*events)(nil)

// entries returns the server list: one ready server for each engine.
func (w *simulation) entries() []laburnumring.ServerEntry {
	out := make([]laburnumring.ServerEntry, 0, len(w.engines))
	for i := range w.engines {
		out = append(out, laburnumring.ServerEntry{
			ID: engineName(i), Service: service, Address: engineName(i), Slots: w.site.Engine.Slots,
			State: laburnumring.ServerReady,
		})
	}
	return out
}
