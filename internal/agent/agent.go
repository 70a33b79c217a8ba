// Package agent implements the agent, the process that runs next to one backend server. Every request that the
// server runs passes through its agent.
//
// Routers leave a ticket for each request that they want to run here. When the server has a free slot, the agent
// picks the team whose turn it is and offers the slot to the router of one of that team's tickets. The router
// accepts the offer with a start message, and the agent streams the server's answer back. A request with an
// idempotency key starts only after its claim on the key, a record in the platform's log, has won. A request that
// was running when the server crashed becomes a suspect, which from then on runs isolated or is refused.
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

// Options are the settings of an Agent.
type Options struct {
	// Server is the backend server that the agent serves.
	Server server.Server
	// Kind is the kind of the server's service, which selects the protocol.
	Kind service.Kind
	// Incarnation is unique to this run of the process.
	Incarnation string
	Clock       laburnumring.Clock
	// Log is the platform's log.
	Log laburnumring.Log
	// Backend is the client of the backend server.
	Backend laburnumring.Backend
	// LogTraffic counts the bytes exchanged with the platform.
	LogTraffic *traffic.Counter
	Logger     *event.Logger
	// LogRetention is the minimum time that the platform's log keeps records; an hour when zero.
	LogRetention clock.Millis
	// Policy decides the order of teams; laburnumring.Fair when empty.
	Policy laburnumring.Policy
	// SharePeriod is the time between two fair-share reports to the parent agent; 250 ms when zero.
	SharePeriod time.Duration
	// TokenTarget is the maximum time between two tokens of a request, which the agent keeps by limiting how many
	// requests the server runs at once; 0 sets no such limit.
	TokenTarget clock.Millis
	// MaxCounterLead is how far a waiting team's usage counter may stand above the lowest one, in weighted service
	// units.
	MaxCounterLead int64
	// TLS is used for connections to other agents; nil means no TLS, which is for loopback only.
	TLS *tls.Config
	// Gate checks the certificates of routers, agents and operators; nil allows loopback connections only.
	Gate *keys.Gate
	// Refusals records connections and requests refused for security reasons; New creates a recorder when nil.
	Refusals *refusal.Recorder
	// Collectors are added to the agent's metrics.
	Collectors []prometheus.Collector
	// ShutdownLimit is the maximum time that a shutdown waits for requests in progress.
	ShutdownLimit time.Duration
}

// Intervals and limits of the agent's loops.
const (
	tickInterval  = 50 * time.Millisecond
	probeInterval = 500 * time.Millisecond
	probeTimeout  = 1 * time.Second
	// sessionTTL is how long a session lasts without a call from its router before the router's tickets are dropped.
	// It is also how long a run that can be cancelled goes on without a stream that reads its answer.
	sessionTTL = 2 * clock.Second
	// maxOffersWait is the maximum time that a call of Offers waits.
	maxOffersWait = 1 * time.Second
	// retainedRunTTL is how long the answer of a run that has ended can be fetched again. When all retained answers
	// together exceed maxRetainedBytes, the oldest are dropped sooner.
	retainedRunTTL   = 30 * clock.Second
	maxRetainedBytes = 16 << 20
)

// Agent is the agent of one backend server.
type Agent struct {
	o       Options
	counter *traffic.Counter
	// runs counts the goroutines of running requests. Nothing waits for it: a shutdown polls inProgress instead.
	runs    sync.WaitGroup
	metrics *metrics
	// follower keeps config up to date with the configuration stream.
	follower *follower.Follower
	// stopped is closed when Run returns.
	stopped chan struct{}

	// mu guards the fields below, except orders.
	mu        sync.Mutex
	board     *board.Board
	config    *configuration.Controller
	admission *admission.Controller
	// sessions holds each router's session, by the router's name.
	sessions map[string]*session
	// fleet is the fleet-wide order of teams; nil under a policy without one.
	fleet *share.Fleet
	// announceTurn decides which routers are notified of free slots, and when.
	announceTurn *asking.Poller
	// limit adapts how many requests the backend server may run at once.
	limit *admission.Limit
	// started holds runs by offer, from their start until they are no longer retained.
	started map[string]*startedRun
	// running holds those of started that have not ended.
	running map[string]*startedRun
	// retained holds those of started that have ended, oldest first, and retainedBytes is their total size.
	retained      []retainedRun
	retainedBytes int
	// claims is the state of requests with an idempotency key.
	claims *claims
	// orders has a lock of its own.
	orders *orders
	// servedUnits holds the service units of requests that ended, by team label.
	servedUnits map[string]int64
	// configuredAt is when the present configuration came into force here.
	configuredAt clock.Millis
	// serverUp reports whether the backend server answered when it was last probed or used.
	serverUp bool
	// suspects holds the requests that were running when a backend server crashed.
	suspects *suspect.List
}

// startedRun is a run and the state of its delivery to the router.
type startedRun struct {
	run *run.Run
	// router is the only router that may fetch the answer.
	router string
	// readers is how many streams deliver the answer now.
	readers int
	// delivered is set once a stream has delivered the answer to its end.
	delivered bool
	// idleSince is when the last stream ended.
	idleSince clock.Millis
	// endedAt is 0 while the request runs.
	endedAt clock.Millis
	// cancel stops the run; it is nil for runs that must not be interrupted.
	cancel context.CancelFunc
}

// New returns an agent whose loops start with Run.
func New(o Options) (*Agent, error) {
	if o.Refusals == nil {
		o.Refusals = refusal.New(o.Logger)
	}
	b := board.New()
	a := &Agent{
		o:           o,
		counter:     &traffic.Counter{},
		metrics:     newMetrics(),
		board:       b,
		config:      configuration.New(configuration.Options{Board: b, Random: rand.Float64}),
		stopped:     make(chan struct{}),
		sessions:    make(map[string]*session),
		started:     make(map[string]*startedRun),
		running:     make(map[string]*startedRun),
		servedUnits: make(map[string]int64),
		suspects:    suspect.New(suspect.Options{}),
	}
	if a.o.SharePeriod == 0 {
		a.o.SharePeriod = defaultSharePeriod
	}
	a.claims = newClaims(o, a.metrics)
	order, fleet := a.newOrder()
	a.fleet = fleet
	a.limit = a.newLimit()
	a.announceTurn = asking.New(asking.Options{})
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
		Log: o.Log, Logger: o.Logger, Clock: o.Clock, Mu: &a.mu, Config: a.config, OnChange: a.configurationChanged,
		Random: rand.Float64,
	})
	var err error
	if a.orders, err = newOrders(a); err != nil {
		return nil, err
	}
	return a, nil
}

// Run runs the agent's loops until ctx ends and then shuts down: it makes no more offers and waits for requests in
// progress.
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
	a.flushClaims()
	cancel()
	wg.Wait()
	close(a.stopped)
	return nil
}

// weight returns a team's weight, or 1 for a team that is not configured. a.mu must be held.
func (a *Agent) weight(name string) int64 {
	if s := a.board.Site(); s != nil {
		if t, ok := s.Team(name); ok {
			return int64(t.Weight())
		}
	}
	return 1
}

// shutdown stops offers and waits for requests in progress, at most ShutdownLimit.
func (a *Agent) shutdown() {
	a.o.Logger.Log(event.Stopping)
	a.mu.Lock()
	a.admission.Drain()
	for _, s := range a.sessions {
		s.notify()
	}
	a.mu.Unlock()
	if !a.waitIdle(a.o.ShutdownLimit) {
		a.o.Logger.Log(event.ShutdownLimitReached, "in_progress", a.inProgress())
	}
	a.o.Logger.Log(event.Stopped)
}

// waitIdle waits until no request runs and no answer is still to be delivered. It returns false after limit.
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

// inProgress returns how many slots are in use plus how many answers are still to be delivered.
func (a *Agent) inProgress() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.o.Clock.Now()
	n := a.admission.InUse()
	for _, s := range a.started {
		if s.endedAt != 0 && s.deliveryPending(now) {
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
		if s.waiting == 0 && now-s.lastCall >= sessionTTL {
			delete(a.sessions, router)
			a.admission.DropRouter(now, router)
			a.o.Logger.Log(event.RouterSessionEnded, "router", router)
		}
	}
	for id, s := range a.running {
		a.tickRun(now, id, s)
	}
	a.evictRetained(now)
	a.suspects.Prune(now)
	a.admission.Tick(now)
	a.adaptLimit(now)
	a.tickClaims(now)
	a.offerFreeSlots(now)
	a.announceFreeSlots()
}

// tickRun charges a run's progress to its team, and cancels a run without readers. a.mu must be held.
func (a *Agent) tickRun(now clock.Millis, id string, s *startedRun) {
	a.admission.Charge(id, s.run.Units())
	a.limit.Progress(now, id, s.run.Units())
	if s.readers == 0 && s.cancel != nil && now-s.idleSince >= sessionTTL {
		s.cancel()
	}
}

// offerFreeSlots offers free slots and puts the offers into their routers' outboxes. a.mu must be held.
func (a *Agent) offerFreeSlots(now clock.Millis) {
	for _, o := range a.admission.MakeOffers(now) {
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

// setServerUp records whether the backend server answers. A change makes the agent offer slots or stop, and is reported
// to the routers.
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
	a.offerFreeSlots(now)
	for _, s := range a.sessions {
		s.notify()
	}
}

// Handler returns the handler of the agent's HTTP API.
func (a *Agent) Handler() http.Handler {
	return a.routes()
}

func refOf(router, request string) ticket.Ref {
	return ticket.Ref{Router: router, Request: request}
}
