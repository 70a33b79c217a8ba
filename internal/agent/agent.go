// Package agent is the process beside one backend server: every request that the server runs passes through
// it.
package agent

import (
	"context"
	"crypto/tls"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/laburnumring/laburnumring"
	"github.com/laburnumring/laburnumring/internal/admission"
	"github.com/laburnumring/laburnumring/internal/asking"
	"github.com/laburnumring/laburnumring/internal/board"
	"github.com/laburnumring/laburnumring/internal/configuration"
	"github.com/laburnumring/laburnumring/internal/cost"
	"github.com/laburnumring/laburnumring/internal/event"
	"github.com/laburnumring/laburnumring/internal/follower"
	"github.com/laburnumring/laburnumring/internal/interval"
	"github.com/laburnumring/laburnumring/internal/keys"
	"github.com/laburnumring/laburnumring/internal/refusal"
	"github.com/laburnumring/laburnumring/internal/run"
	"github.com/laburnumring/laburnumring/internal/share"
	"github.com/laburnumring/laburnumring/internal/suspect"
	"github.com/laburnumring/laburnumring/internal/ticket"
	"github.com/laburnumring/laburnumring/internal/traffic"
	"github.com/laburnumring/laburnumring/pkg/clock"
	"github.com/laburnumring/laburnumring/pkg/server"
	"github.com/laburnumring/laburnumring/pkg/service"
)

// Options are what an Agent is built from.
type Options struct {
	// Server is the backend server beside the agent.
	Server server.Server
	// Kind is the protocol of the server.
	Kind service.Kind
	// Incarnation is unique to this run of the process.
	Incarnation string
	// Clock tells the time.
	Clock laburnumring.Clock
	// Log is the platform's log.
	Log laburnumring.Log
	// Backend runs requests.
	Backend laburnumring.Backend
	// LogTraffic counts the bytes exchanged with the platform.
	LogTraffic *traffic.Counter
	// Logger takes events.
	Logger *event.Logger
	// LogRetention is the least time that the platform's log keeps records; an hour when zero.
	LogRetention clock.Millis
	// Policy decides the order of teams; laburnumring.Fair when empty.
	Policy laburnumring.Policy
	// SharePeriod is the time between two reports to the parent; 250 ms when zero.
	SharePeriod time.Duration
	// TokenTarget is the longest time between two tokens of a request; 0 for none.
	TokenTarget clock.Millis
	// ShareLead is the most weighted service units by which a waiting team's counter may lead.
	ShareLead int64
	// TLS is used towards other agents; nil means no TLS, which is for loopback only.
	TLS *tls.Config
	// Gate lets routers, agents and operators in; nil lets in loopback only.
	Gate *keys.Gate
	// Refusals takes what is refused for security's sake; a recorder of the agent's own when nil.
	Refusals *refusal.Recorder
	// Collectors are added to the agent's metrics.
	Collectors []prometheus.Collector
	// ShutdownLimit is the longest that a shutdown waits for requests in progress.
	ShutdownLimit time.Duration
}

// Intervals of the agent's loops.
const (
	tickInterval  = 50 * time.Millisecond
	probeInterval = 500 * time.Millisecond
	probeTimeout  = 1 * time.Second
	// sessionLife is how long a router may be silent before its tickets are dropped.
	sessionLife = 2 * clock.Second
	// offersWait is the longest that a call for offers waits.
	offersWait = 1 * time.Second
	// keepRuns is how long a finished answer can be fetched again, as long as all take at most keepBytes.
	keepRuns  = 30 * clock.Second
	keepBytes = 16 << 20
)

// Agent is one running agent.
type Agent struct {
	o       Options
	counter *traffic.Counter
	// runs owns the goroutines of running requests.
	runs sync.WaitGroup
	// metrics counts what happens.
	metrics *metrics
	// follower keeps config up to date.
	follower *follower.Follower
	// ended is closed when Run returns.
	ended chan struct{}

	mu sync.Mutex
	// board, config and admission are guarded by mu, as are the maps.
	board     *board.Board
	config    *configuration.Controller
	admission *admission.Controller
	sessions  map[string]*session
	// fleet is the fleet-wide order of teams; nil under a policy without one. It is guarded by mu.
	fleet *share.Fleet
	// asking decides which routers are asked for work. It is guarded by mu.
	asking *asking.Turn
	// limit is the most requests inside the backend server. It is guarded by mu.
	limit *admission.Limit
	// started holds runs by offer, from start until keepRuns after their end.
	started map[string]*startedRun
	// running holds those of started that have not ended.
	running map[string]*startedRun
	// kept holds those of started that have ended, oldest first, and keptBytes is what they take.
	kept      []keptRun
	keptBytes int
	// claims holds what keyed requests need.
	claims *claims
	// orders has a lock of its own.
	orders *orders
	// served holds the service units of requests that ended, by team label.
	served map[string]int64
	// liveSince is when the configuration in force came into force here.
	liveSince clock.Millis
	// serverUp is what the last probe said.
	serverUp bool
	// suspects knows the requests that take servers down; it is guarded by mu.
	suspects *suspect.List
}

// startedRun is a run and what the agent must remember with it.
type startedRun struct {
	run *run.Run
	// router may fetch the answer.
	router string
	// readers is how many streams deliver the answer now.
	readers int
	// delivered says that a stream brought the answer to its end.
	delivered bool
	// idleSince is when the last stream ended.
	idleSince clock.Millis
	// endedAt is 0 while the request runs.
	endedAt clock.Millis
	// cancel stops the run; it is nil for runs that must go on to their end.
	cancel context.CancelFunc
}

// New returns an agent that does nothing until Run.
func New(o Options) (*Agent, error) {
	if o.Refusals == nil {
		o.Refusals = refusal.New(o.Logger)
	}
	b := board.New()
	a := &Agent{
		o:        o,
		counter:  &traffic.Counter{},
		metrics:  newMetrics(),
		board:    b,
		config:   configuration.New(configuration.Options{Board: b, Random: rand.Float64}),
		ended:    make(chan struct{}),
		sessions: make(map[string]*session),
		started:  make(map[string]*startedRun),
		running:  make(map[string]*startedRun),
		served:   make(map[string]int64),
		suspects: suspect.New(suspect.Options{}),
	}
	if a.o.SharePeriod == 0 {
		a.o.SharePeriod = defaultSharePeriod
	}
	a.claims = newClaims(o, a.metrics)
	order, fleet := a.newOrder()
	a.fleet = fleet
	a.limit = a.newLimit()
	a.asking = asking.New(asking.Options{})
	a.admission = admission.New(admission.Options{
		Incarnation: o.Incarnation,
		Slots:       o.Server.Slots(),
		Order:       order,
		Costs:       cost.New(),
		Suspects:    a.suspects,
		Invariants:  o.Logger.Invariants(a.metrics.violations.Inc),
	})
	a.admission.SetServerUp(false)
	a.counter.Register(a.metrics.registry, "peer")
	a.metrics.registry.MustRegister(o.Refusals)
	a.metrics.registry.MustRegister(o.Collectors...)
	o.LogTraffic.Register(a.metrics.registry, "platform")
	a.follower = follower.New(follower.Options{
		Log: o.Log, Logger: o.Logger, Clock: o.Clock, Mu: &a.mu, Config: a.config, OnChange: a.configured,
		Random: rand.Float64,
	})
	var err error
	if a.orders, err = newOrders(a); err != nil {
		return nil, err
	}
	return a, nil
}

// Run works until ctx ends and then shuts down: it takes no new work and waits for requests in progress.
func (a *Agent) Run(ctx context.Context) error {
	loops, cancel := context.WithCancel(context.WithoutCancel(ctx))
	var wg sync.WaitGroup
	for _, loop := range []func(context.Context){
		a.tickLoop, a.probeLoop, a.follower.Run, a.claimAppendLoop, a.claimReadLoop, a.shareLoop,
	} {
		wg.Go(func() { loop(loops) })
	}
	a.o.Logger.Log(event.Started, "server", a.o.Server.Name(), "incarnation", a.o.Incarnation)
	<-ctx.Done()
	a.shutdown()
	a.settleClaims()
	cancel()
	wg.Wait()
	close(a.ended)
	return nil
}

// weight returns a team's weight; callers hold mu.
func (a *Agent) weight(name string) int64 {
	if s := a.board.Site(); s != nil {
		if t, ok := s.Team(name); ok {
			return int64(t.Weight())
		}
	}
	return 1
}

func (a *Agent) shutdown() {
	a.o.Logger.Log(event.Stopping)
	a.mu.Lock()
	a.admission.Drain()
	for _, s := range a.sessions {
		s.notify()
	}
	a.mu.Unlock()
	if !a.waitIdle(a.o.ShutdownLimit) {
		a.o.Logger.Log(event.StopLimit, "in_progress", a.inProgress())
	}
	a.o.Logger.Log(event.Stopped)
}

// waitIdle waits until no request runs and every answer was delivered, and reports whether that came true.
func (a *Agent) waitIdle(limit time.Duration) bool {
	deadline := time.Now().Add(limit)
	for a.inProgress() > 0 {
		if time.Now().After(deadline) {
			return false
		}
		time.Sleep(tickInterval)
	}
	return true
}

func (a *Agent) inProgress() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.o.Clock.Now()
	n := a.admission.InUse()
	for _, s := range a.started {
		if s.endedAt != 0 && s.owesAnswer(now) {
			n++
		}
	}
	return n
}

func (a *Agent) tickLoop(ctx context.Context) {
	interval.Every(ctx, tickInterval, a.tick)
}

func (a *Agent) tick() {
	now := a.o.Clock.Now()
	a.mu.Lock()
	defer a.mu.Unlock()
	for router, s := range a.sessions {
		if s.waiting == 0 && now-s.seen >= sessionLife {
			delete(a.sessions, router)
			a.admission.DropRouter(now, router)
			a.o.Logger.Log(event.RouterGone, "router", router)
		}
	}
	for id, s := range a.running {
		a.tickRun(now, id, s)
	}
	a.boundKept(now)
	a.suspects.Prune(now)
	a.admission.Tick(now)
	a.adaptLimit(now)
	a.tickClaims(now)
	a.fill(now)
	a.wakeIdle()
}

// tickRun charges a run's progress and stops one that nobody reads; callers hold mu.
func (a *Agent) tickRun(now clock.Millis, id string, s *startedRun) {
	a.admission.Charge(id, s.run.Units())
	a.limit.Progress(now, id, s.run.Units())
	if s.readers == 0 && s.cancel != nil && now-s.idleSince >= sessionLife {
		s.cancel()
	}
}

// fill offers free slots and puts the offers into their routers' outboxes; callers hold mu.
func (a *Agent) fill(now clock.Millis) {
	for _, o := range a.admission.Fill(now) {
		s, ok := a.sessions[o.Router]
		if !ok {
			a.admission.WithdrawOffer(now, o.ID)
			continue
		}
		s.outbox = append(s.outbox, o)
		s.notify()
	}
}

func (a *Agent) probeLoop(ctx context.Context) {
	interval.Every(ctx, probeInterval, func() {
		probe, cancel := context.WithTimeout(ctx, probeTimeout)
		defer cancel()
		a.setServerUp(a.o.Backend.Probe(probe) == nil)
	})
}

func (a *Agent) setServerUp(up bool) {
	now := a.o.Clock.Now()
	a.mu.Lock()
	defer a.mu.Unlock()
	if up == a.serverUp {
		return
	}
	a.serverUp = up
	a.setAvailable()
	e := event.ServerDown
	if up {
		e = event.ServerUp
	}
	a.o.Logger.Log(e, "server", a.o.Server.Name())
	a.fill(now)
	for _, s := range a.sessions {
		s.notify()
	}
}

// Handler returns the agent's HTTP interface.
func (a *Agent) Handler() http.Handler {
	return a.routes()
}

func refOf(router, request string) ticket.Ref {
	return ticket.Ref{Router: router, Request: request}
}
