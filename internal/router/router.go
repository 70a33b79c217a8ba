// Package router is the process that holds callers' connections and finds an agent for each request.
package router

import (
	"context"
	"crypto/tls"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/laburnumring/laburnumring"
	"github.com/laburnumring/laburnumring/internal/board"
	"github.com/laburnumring/laburnumring/internal/caller"
	"github.com/laburnumring/laburnumring/internal/configuration"
	"github.com/laburnumring/laburnumring/internal/dispatch"
	"github.com/laburnumring/laburnumring/internal/event"
	"github.com/laburnumring/laburnumring/internal/follower"
	"github.com/laburnumring/laburnumring/internal/interval"
	"github.com/laburnumring/laburnumring/internal/invariant"
	"github.com/laburnumring/laburnumring/internal/keys"
	"github.com/laburnumring/laburnumring/internal/membership"
	"github.com/laburnumring/laburnumring/internal/placement"
	"github.com/laburnumring/laburnumring/internal/refusal"
	"github.com/laburnumring/laburnumring/internal/subset"
	"github.com/laburnumring/laburnumring/internal/suspect"
	"github.com/laburnumring/laburnumring/internal/traffic"
	"github.com/laburnumring/laburnumring/pkg/clock"
)

// Options are what a Router is built from.
type Options struct {
	// Name is the router's name, Place the name of the place where it stands and Incarnation unique to this
	// run of the process.
	Name        string
	Place       string
	Incarnation string
	// SubsetDegree is to how many agents of each service the router keeps connections; 0 for the default.
	SubsetDegree int
	// Clock tells the time.
	Clock laburnumring.Clock
	// Log is the platform's log and VMs its VM list.
	Log laburnumring.Log
	VMs laburnumring.VMLister
	// LogTraffic counts the bytes exchanged with the platform.
	LogTraffic *traffic.Counter
	// Seeds are addresses of agents to ask for a configuration while the router has none.
	Seeds []string
	// Logger takes events.
	Logger *event.Logger
	// TLS is used towards agents; nil means no TLS, which is for loopback only.
	TLS *tls.Config
	// Policy chooses the agents for a request; laburnumring.Fair when empty.
	Policy laburnumring.Policy
	// CallerAuth says what proves a caller's team; caller.Proof when zero.
	CallerAuth caller.Mode
	// Gate lets operators in at the control interface; nil lets in loopback only.
	Gate *keys.Gate
	// HideMetrics leaves metrics to the control interface, away from callers.
	HideMetrics bool
	// Refusals takes what is refused for security's sake; a recorder of the router's own when nil.
	Refusals *refusal.Recorder
	// Collectors are added to the router's metrics.
	Collectors []prometheus.Collector
	// BodyTimeout is the longest that a caller's body may take to arrive; 30 seconds when zero.
	BodyTimeout time.Duration
	// ShutdownLimit is the longest that a shutdown waits for requests in progress.
	ShutdownLimit time.Duration
	// Rand makes the router's random choices; it is used under the router's lock.
	Rand *rand.Rand
}

// Intervals of the router's loops.
const (
	tickInterval   = 25 * time.Millisecond
	vmPollInterval = 1 * time.Second
	// idleTickInterval is the time between ticks while there is no request.
	idleTickInterval = 1 * time.Second
)

// ticketsPerRequest is with how many agents a request's tickets are left at first.
const ticketsPerRequest = 2

// Router is one running router.
type Router struct {
	o       Options
	id      string
	counter *traffic.Counter
	// invariants takes violations.
	invariants invariant.Checker
	metrics    *metrics
	data       *http.Client
	// busy has room for one signal that the first request has come.
	busy chan struct{}
	// follower keeps config up to date.
	follower *follower.Follower
	callers  *caller.Authenticator
	// fetching is held while a configuration is fetched from an agent.
	fetching sync.Mutex

	mu sync.Mutex
	// All below is guarded by mu.
	board      *board.Board
	config     *configuration.Controller
	membership *membership.Controller
	dispatch   *dispatch.Controller
	// suspects knows the requests that take servers down.
	suspects *suspect.List
	subset   *subset.Controller
	// links holds the connection to each configured agent, by server name.
	links map[string]*link
	// calls holds the callers that wait, by request id.
	calls map[string]*call
	// bodies counts what the calls hold.
	bodies bodies
	// liveSince is when the configuration in force came into force here.
	liveSince clock.Millis
	// stopping is set once, when a shutdown begins.
	stopping bool
	// count numbers the requests.
	count int64
	// inbound counts callers' requests that have not been answered.
	inbound int
	// background owns the links' goroutines.
	background sync.WaitGroup
	// linkContext ends when the links must end.
	linkContext context.Context
}

// New returns a router that does nothing until Run.
func New(o Options) *Router {
	if o.Refusals == nil {
		o.Refusals = refusal.New(o.Logger)
	}
	b := board.New()
	m := newMetrics()
	suspects := suspect.New(suspect.Options{})
	invariants := o.Logger.Invariants(m.violations.Inc)
	r := &Router{
		o:          o,
		id:         o.Name + "." + o.Incarnation,
		counter:    &traffic.Counter{},
		metrics:    m,
		data:       newDataClient(o.TLS),
		busy:       make(chan struct{}, 1),
		callers:    caller.New(o.CallerAuth),
		board:      b,
		config:     configuration.New(configuration.Options{Board: b, Random: rand.Float64}),
		membership: membership.New(b),
		suspects:   suspects,
		invariants: invariants,
		dispatch: dispatch.New(dispatch.Options{
			Suspects:   suspects,
			Board:      b,
			Placement:  placement.For(o.Policy, o.Rand, ticketsPerRequest),
			Invariants: invariants,
		}),
		subset: subset.New(subset.Options{Board: b, Router: o.Name, Place: o.Place, Degree: o.SubsetDegree}),
		links:  make(map[string]*link),
		calls:  make(map[string]*call),
		bodies: bodies{byTeam: make(map[string]int64)},
	}
	r.counter.Register(r.metrics.registry, "peer")
	r.metrics.registry.MustRegister(o.Refusals)
	r.metrics.registry.MustRegister(o.Collectors...)
	o.LogTraffic.Register(r.metrics.registry, "platform")
	r.follower = follower.New(follower.Options{
		Log: o.Log, Logger: o.Logger, Clock: o.Clock, Mu: &r.mu, Config: r.config, Live: r.configured,
		Random: rand.Float64,
	})
	return r
}

// Run works until ctx ends and then shuts down: it takes no new requests and waits for those in progress.
func (r *Router) Run(ctx context.Context) error {
	loops, cancel := context.WithCancel(context.WithoutCancel(ctx))
	r.mu.Lock()
	r.linkContext = loops
	r.mu.Unlock()
	var wg sync.WaitGroup
	for _, loop := range []func(context.Context){
		r.tickLoop, r.subsetLoop, r.follower.Run, r.seedLoop, r.vmLoop,
	} {
		wg.Go(func() { loop(loops) })
	}
	r.o.Logger.Log(event.Started, "router", r.id)
	<-ctx.Done()
	r.shutdown()
	cancel()
	wg.Wait()
	r.background.Wait()
	return nil
}

func (r *Router) shutdown() {
	r.o.Logger.Log(event.Stopping)
	r.mu.Lock()
	r.stopping = true
	r.mu.Unlock()
	deadline := time.Now().Add(r.o.ShutdownLimit)
	for r.inProgress() > 0 {
		if time.Now().After(deadline) {
			r.o.Logger.Log(event.StopLimit, "in_progress", r.inProgress())
			r.endWaiting()
			break
		}
		time.Sleep(tickInterval)
	}
	r.o.Logger.Log(event.Stopped)
}

func (r *Router) inProgress() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.inbound
}

// ready reports whether the router may take requests.
func (r *Router) ready() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return !r.stopping && r.board.Site() != nil
}

// tickLoop lets time pass for the requests: often while there are any, seldom while there are none.
func (r *Router) tickLoop(ctx context.Context) {
	for ctx.Err() == nil {
		pause := r.tick()
		t := time.NewTimer(pause)
		select {
		case <-ctx.Done():
		case <-r.busy:
		case <-t.C:
		}
		t.Stop()
	}
}

// tick lets time pass and returns how long the next tick may wait.
func (r *Router) tick() time.Duration {
	now := r.o.Clock.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.do(r.dispatch.Tick(now))
	r.suspects.Prune(now)
	r.metrics.suspects.Set(float64(r.suspects.SuspectCount()))
	if r.dispatch.Len() == 0 {
		return idleTickInterval
	}
	return tickInterval
}

// configured opens and closes links as the configuration in force says; callers hold mu.
func (r *Router) configured() {
	_, removed := r.membership.Configured()
	now := r.o.Clock.Now()
	r.liveSince = now
	r.metrics.configured(r.board.Site())
	for _, name := range removed {
		r.closeLink(now, name)
	}
	r.relink(now)
	r.compareVersions()
}

func (r *Router) vmLoop(ctx context.Context) {
	interval.Every(ctx, vmPollInterval, func() {
		vms, err := r.o.VMs.VMs(ctx)
		if err != nil {
			return
		}
		now := r.o.Clock.Now()
		r.mu.Lock()
		defer r.mu.Unlock()
		for _, name := range r.membership.Listed(vms) {
			r.o.Logger.Log(event.AgentLeaving, "server", name, "source", "vm_list")
			r.do(r.dispatch.AgentLeaving(now, name))
		}
	})
}
