// Package router implements the router process. A router accepts HTTP requests from callers, the teams' client
// programs, and queues them. It leaves tickets for each request with agents, each of which runs next to one
// backend server. The first agent that offers a slot receives the request, and the router copies the answer to
// the caller. Failed attempts are retried where that is safe.
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

// Options are the settings and dependencies of a Router.
type Options struct {
	// Name is the router's name and Place the name of its data centre. Incarnation is unique to this run of the
	// process.
	Name        string
	Place       string
	Incarnation string
	// SubsetDegree is the number of agents of each service to which the router keeps connections; 0 means the
	// default.
	SubsetDegree int
	Clock        laburnumring.Clock
	// Log is the platform's log and VMs its VM list.
	Log laburnumring.Log
	VMs laburnumring.VMLister
	// LogTraffic counts the bytes exchanged with the platform.
	LogTraffic *traffic.Counter
	// Seeds are the addresses of agents from which the router fetches a configuration while it has none.
	Seeds []string
	// Logger receives the router's events.
	Logger *event.Logger
	// TLS is the TLS configuration for connections to agents. When it is nil, agents are reached without TLS and
	// only on loopback addresses.
	TLS *tls.Config
	// Policy chooses the agents with which a request's tickets are left; laburnumring.Fair when empty.
	Policy laburnumring.Policy
	// CallerAuth says how callers prove their team; caller.Credentials when zero.
	CallerAuth caller.Mode
	// Gate decides who may use the control interface. When it is nil, only clients on loopback may.
	Gate *keys.Gate
	// HideMetrics removes the metrics from the interface for callers. The control interface always serves them.
	HideMetrics bool
	// Refusals records requests that are refused for security reasons. When it is nil, the router uses a
	// recorder of its own.
	Refusals *refusal.Recorder
	// Collectors are added to the router's metrics.
	Collectors []prometheus.Collector
	// BodyTimeout limits how long a caller's body may take to arrive; 30 seconds when zero.
	BodyTimeout time.Duration
	// ShutdownLimit limits how long a shutdown waits for active requests.
	ShutdownLimit time.Duration
	// Rand is the source of the placement's random choices. It is used with the router's mu held.
	Rand *rand.Rand
}

// Intervals of the router's periodic work.
const (
	tickInterval   = 25 * time.Millisecond
	vmPollInterval = 1 * time.Second
	// idleTickInterval is the interval between ticks while there are no requests.
	idleTickInterval = 1 * time.Second
)

// initialTickets is the number of agents with which a new request's tickets are left.
const initialTickets = 2

// Router accepts requests from callers and runs them on backend servers through the servers' agents. New returns
// one and Run runs it.
type Router struct {
	o           Options
	id          string
	peerTraffic *traffic.Counter
	// invariants checks invariants and reports violations.
	invariants invariant.Checker
	metrics    *metrics
	dataClient *http.Client
	// wakeTick, with a buffer of one, wakes tickLoop when a request arrives at an idle router.
	wakeTick chan struct{}
	// follower keeps config up to date with the platform's log.
	follower      *follower.Follower
	authenticator *caller.Authenticator
	// fetchMu is held while a configuration is fetched from an agent.
	fetchMu sync.Mutex

	mu sync.Mutex
	// The fields below are guarded by mu.
	board      *board.Board
	config     *configuration.Controller
	membership *membership.Controller
	dispatch   *dispatch.Controller
	// suspects holds the fingerprints of requests that may crash backend servers.
	suspects *suspect.List
	subset   *subset.Controller
	// links holds the links to the agents of the router's subsets, by server name.
	links map[string]*link
	// calls holds the requests that were submitted to the dispatch controller and have not ended, by id.
	calls map[string]*call
	// bodyQuota limits the memory for the bodies of calls.
	bodyQuota bodyQuota
	// inForceSince is when the current configuration came into force in this router.
	inForceSince clock.Millis
	// stopping is set once a shutdown has begun.
	stopping bool
	// lastRequestNumber is the number in the id of the latest request.
	lastRequestNumber int64
	// activeRequests is the number of callers' requests whose handlers are running.
	activeRequests int
	// linkWG waits for the links' goroutines.
	linkWG sync.WaitGroup
	// linkCtx is the parent context of all links.
	linkCtx context.Context
}

// New returns a router. It does nothing before Run.
func New(o Options) *Router {
	if o.Refusals == nil {
		o.Refusals = refusal.New(o.Logger)
	}
	b := board.New()
	m := newMetrics()
	suspects := suspect.New(suspect.Options{})
	invariants := o.Logger.Invariants(m.violations.Inc)
	r := &Router{
		o:             o,
		id:            o.Name + "." + o.Incarnation,
		peerTraffic:   &traffic.Counter{},
		metrics:       m,
		dataClient:    newDataClient(o.TLS),
		wakeTick:      make(chan struct{}, 1),
		authenticator: caller.New(o.CallerAuth),
		board:         b,
		config:        configuration.New(configuration.Options{Board: b, Random: rand.Float64}),
		membership:    membership.New(b),
		suspects:      suspects,
		invariants:    invariants,
		dispatch: dispatch.New(dispatch.Options{
			Suspects:   suspects,
			Board:      b,
			Placement:  placement.For(o.Policy, o.Rand, initialTickets),
			Invariants: invariants,
		}),
		subset:    subset.New(subset.Options{Board: b, Router: o.Name, Place: o.Place, Degree: o.SubsetDegree}),
		links:     make(map[string]*link),
		calls:     make(map[string]*call),
		bodyQuota: bodyQuota{byTeam: make(map[string]int64)},
	}
	r.peerTraffic.Register(r.metrics.registry, "peer")
	r.metrics.registry.MustRegister(o.Refusals)
	r.metrics.registry.MustRegister(o.Collectors...)
	o.LogTraffic.Register(r.metrics.registry, "platform")
	r.follower = follower.New(follower.Options{
		Log: o.Log, Logger: o.Logger, Clock: o.Clock, Mu: &r.mu, Config: r.config, OnChange: r.configurationInForce,
		Random: rand.Float64,
	})
	return r
}

// Run runs the router until ctx ends and then shuts it down: new requests are refused, and active ones may
// finish within Options.ShutdownLimit. The returned error is always nil.
func (r *Router) Run(ctx context.Context) error {
	loopCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	r.mu.Lock()
	r.linkCtx = loopCtx
	r.mu.Unlock()
	var wg sync.WaitGroup
	for _, loop := range []func(context.Context){
		r.tickLoop, r.subsetLoop, r.follower.Run, r.seedLoop, r.vmLoop,
	} {
		wg.Go(func() { loop(loopCtx) })
	}
	r.o.Logger.Log(event.Started, "router", r.id)
	<-ctx.Done()
	r.shutdown()
	cancel()
	wg.Wait()
	r.linkWG.Wait()
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
			r.o.Logger.Log(event.ShutdownLimitReached, "in_progress", r.inProgress())
			r.refuseWaiting()
			break
		}
		time.Sleep(tickInterval)
	}
	r.o.Logger.Log(event.Stopped)
}

func (r *Router) inProgress() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.activeRequests
}

// ready reports whether the router accepts requests.
func (r *Router) ready() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return !r.stopping && r.board.Site() != nil
}

// tickLoop calls tick periodically: often while there are requests, and rarely while there are none.
func (r *Router) tickLoop(ctx context.Context) {
	for ctx.Err() == nil {
		pause := r.tick()
		t := time.NewTimer(pause)
		select {
		case <-ctx.Done():
		case <-r.wakeTick:
		case <-t.C:
		}
		t.Stop()
	}
}

// tick ends overdue requests, renews tickets and removes expired suspects. It returns the delay before the next
// tick.
func (r *Router) tick() time.Duration {
	now := r.o.Clock.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.execute(r.dispatch.Tick(now))
	r.suspects.Prune(now)
	r.metrics.suspects.Set(float64(r.suspects.SuspectCount()))
	if r.dispatch.Len() == 0 {
		return idleTickInterval
	}
	return tickInterval
}

// configurationInForce opens and closes links after a new configuration has come into force. It must be called
// with mu held.
func (r *Router) configurationInForce() {
	_, removed := r.membership.Configured()
	now := r.o.Clock.Now()
	r.inForceSince = now
	r.metrics.setLabelValues(r.board.Site())
	for _, name := range removed {
		r.closeLink(now, name)
	}
	r.updateLinks(now)
	r.signalVersionDifferences()
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
		for _, name := range r.membership.VMListReceived(vms) {
			r.o.Logger.Log(event.AgentLeaving, "server", name, "source", "vm_list")
			r.execute(r.dispatch.AgentLeaving(now, name))
		}
	})
}
