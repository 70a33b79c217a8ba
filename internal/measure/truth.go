package measure

import (
	"strings"
	"sync"
	"time"

	"github.com/laburnumring/laburnumring/internal/standin/engine"
)

// Truth is what the stand-ins and the callers see, apart from the product's own counters. It is safe for
// concurrent use.
type Truth struct {
	mu    sync.Mutex
	start time.Time
	teams map[string]*teamTruth
	// requests holds what is known of each request, by prompt.
	requests map[string]*requestTruth
	// busy counts the requests in each engine's batch, the older system's included.
	busy []int
	// generated counts the tokens of all engines, the older system's included.
	generated int64
	// first and again count first and further runs of requests.
	first int
	again int
	// samples are in the order of time.
	samples []sample
}

type teamTruth struct {
	tokens  int64
	waiting int
	// waits holds how long each request waited for its first start, or until it was given up.
	waits []time.Duration
}

type requestTruth struct {
	team      string
	submitted time.Time
	// settled says that the request no longer counts as waiting.
	settled bool
	started bool
}

// sample is the state at one instant.
type sample struct {
	at time.Duration
	// inside is how many requests run in all engines, and generated how many tokens they have given.
	inside    int
	generated int64
	// busy is how many slots they fill.
	busy    int
	tokens  map[string]int64
	waiting map[string]int
}

// unseenTeam marks prompts of the older system.
const unseenTeam = "older-system"

// NewTruth returns an empty truth for teams.
func NewTruth(s Site) *Truth {
	t := &Truth{teams: make(map[string]*teamTruth), requests: make(map[string]*requestTruth), busy: make([]int, s.modelServers)}
	for _, v := range s.Teams() {
		t.teams[v.Name()] = &teamTruth{}
	}
	return t
}

// Begin sets the start of the load.
func (t *Truth) Begin(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.start = now
}

// Engine returns the observer of the i-th engine.
func (t *Truth) Engine(i int) engine.Observer { return &engineTruth{t: t, i: i} }

// engineTruth observes one engine.
type engineTruth struct {
	t *Truth
	i int
}

var _ engine.Observer = (*engineTruth)(nil)

// Submitted records that a caller sent a request.
func (t *Truth) Submitted(now time.Time, team, prompt string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.requests[prompt] = &requestTruth{team: team, submitted: now}
	t.teams[team].waiting++
}

// Finished records that a caller's request ended.
func (t *Truth) Finished(now time.Time, prompt string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.settle(now, t.requests[prompt])
}

// settle ends a request's wait; callers hold mu.
func (t *Truth) settle(now time.Time, r *requestTruth) {
	if r.settled {
		return
	}
	r.settled = true
	team := t.teams[r.team]
	team.waiting--
	team.waits = append(team.waits, now.Sub(r.submitted))
}

// Started implements engine.Observer.
func (e *engineTruth) Started(p engine.Prompt) {
	now := time.Now()
	t := e.t
	t.mu.Lock()
	defer t.mu.Unlock()
	t.busy[e.i]++
	r, ok := t.requests[p.Text]
	if !ok {
		return
	}
	if r.started {
		t.again++
		return
	}
	r.started = true
	t.first++
	t.settle(now, r)
}

// Token implements engine.Observer.
func (e *engineTruth) Token(p engine.Prompt) {
	t := e.t
	name, _, _ := strings.Cut(p.Text, " ")
	t.mu.Lock()
	defer t.mu.Unlock()
	t.generated++
	if team, ok := t.teams[name]; ok {
		team.tokens++
	}
}

// Ended implements engine.Observer.
func (e *engineTruth) Ended(engine.Prompt) {
	t := e.t
	t.mu.Lock()
	defer t.mu.Unlock()
	t.busy[e.i]--
}

// Sample records the state now.
func (t *Truth) Sample(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := sample{
		at: now.Sub(t.start), generated: t.generated,
		tokens: make(map[string]int64, len(t.teams)), waiting: make(map[string]int, len(t.teams)),
	}
	for _, n := range t.busy {
		s.busy += min(n, slots)
		s.inside += n
	}
	for name, v := range t.teams {
		s.tokens[name] = v.tokens
		s.waiting[name] = v.waiting
	}
	t.samples = append(t.samples, s)
}
