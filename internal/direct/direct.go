// Package direct is the router towards services that are reached without agents: it holds the callers' connections,
// chooses a backend server for each request and passes the answer on.
package direct

import (
	"context"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/laburnumring/laburnumring"
	"github.com/laburnumring/laburnumring/internal/event"
	"github.com/laburnumring/laburnumring/internal/gossip"
	"github.com/laburnumring/laburnumring/internal/intake"
	"github.com/laburnumring/laburnumring/internal/interval"
	"github.com/laburnumring/laburnumring/internal/readshare"
	"github.com/laburnumring/laburnumring/internal/retrycap"
	"github.com/laburnumring/laburnumring/internal/roster"
	"github.com/laburnumring/laburnumring/internal/rotation"
	"github.com/laburnumring/laburnumring/internal/routing"
	"github.com/laburnumring/laburnumring/internal/suspect"
	"github.com/laburnumring/laburnumring/internal/upstream"
	"github.com/laburnumring/laburnumring/pkg/clock"
)

// Options are what a Router is built from.
type Options struct {
	// Name is the router's name and Place the name of its place.
	Name  string
	Place string
	// Incarnation is unique to this run of the process.
	Incarnation string
	// Address is the router's IP address with the port for its peers, Seeds the IP addresses of some of them.
	Address netip.AddrPort
	Seeds   []netip.Addr
	// Clock tells the time.
	Clock laburnumring.Clock
	// Dialect translates headers, and Decode reads a configuration's text.
	Dialect laburnumring.Dialect
	Decode  func(text []byte) (*routing.Table, error)
	// Configurations and Servers are the platform's.
	Configurations laburnumring.ConfigurationWatcher
	Servers        laburnumring.ServerLister
	// Retry bounds repeated sends of each service: the ratio at this router, the burst at all.
	Retry retrycap.Options
	// MaxHeld bounds the bytes of bodies that are held at a time; 0 for no bound.
	MaxHeld int64
	// Capacity is the router's processor time in thousandths of a core; 0 when it is not known.
	Capacity int
	// Grace is the time from the request to stop until the process must have ended.
	Grace time.Duration
	// Logger takes events.
	Logger *event.Logger
	// Summaries takes the lines that sum up each second; Logger when nil.
	Summaries *event.Logger
	// Collectors are added to the router's metrics.
	Collectors []prometheus.Collector
}

// Intervals of the router's loops.
const (
	// stopLook is the time between looks whether the last request has ended.
	stopLook = 10 * time.Millisecond
	// listInterval is the time between reads of the list of backend servers, and maxListAge the age of what other
	// routers have read from which on a router reads itself. With the time of a read they stay well under the two
	// seconds in which a leaving server must get no more work.
	listInterval = 700 * clock.Millis(1)
	maxListAge   = 1000 * clock.Millis(1)
	// listTimeout bounds a read of the list. A slow store takes 0.3 seconds; together with listRetry it is how exactly the
	// end of an outage is known.
	listTimeout = 700 * time.Millisecond
	listRetry   = 250 * clock.Millis(1)
	// maxSendAge is the age of the list from which on nothing is sent before it is read again, unless the store is away
	// from all routers. It leaves 0.3 of the two seconds to the send. maxListWait bounds the wait of a request for that.
	maxSendAge  = 1700 * clock.Millis(1)
	maxListWait = 1 * time.Second
	// maxConfigurationAge is the same for the configuration, which must be in force within two seconds.
	maxConfigurationAge = 1500 * clock.Millis(1)
	// readStagger keeps routers from beginning to read at the same time.
	readStagger = 100 * clock.Millis(1)
	// listReaders and configurationReaders are how many routers read in any case. A read of the configuration is
	// answered when there is a change, so that more readers are no more calls for each change.
	listReaders          = 2
	configurationReaders = 4
	// maxReadWait bounds the time between two looks whether to read.
	maxReadWait   = 100 * time.Millisecond
	pruneInterval = 1 * time.Second
	// retryPause is the time after a failed call of the platform.
	retryPause = 250 * time.Millisecond
)

// Router is one running router.
type Router struct {
	o       Options
	pool    *upstream.Pool
	gossip  *gossip.Exchange
	metrics *metrics
	// table is the configuration in force; nil before the first.
	table atomic.Pointer[routing.Table]
	// stopping is when a shutdown began; 0 before.
	stopping atomic.Int64
	// inbound counts callers' requests that have not been answered.
	inbound atomic.Int64
	// held counts the bytes of the bodies of those.
	held atomic.Int64
	// away says that new connections should go to other routers.
	away atomic.Bool
	// busy says that the process has too little processor time for what is in progress.
	busy atomic.Bool
	// full says that it has none for new connections either, refusing when these were last reset.
	full     atomic.Bool
	refusing atomic.Int64
	// refused counts the nanoseconds in which new connections were reset.
	refused atomic.Int64
	count   atomic.Int64
	// background owns the checks of servers.
	background sync.WaitGroup

	mu sync.Mutex
	// All below is guarded by mu.
	text     laburnumring.ConfigurationText
	roster   *roster.Roster
	intake   *intake.Controller
	suspects *suspect.List
	rotation *rotation.Controller
	// overloaded says that the process gets too little processor time for its connections.
	overloaded bool
	// late is how late timers are on average, and busyTime how long streams were sent elsewhere since the start.
	late     clock.Millis
	busyTime time.Duration
	// told is the last older suspect that peers were told of.
	told    uint64
	retries map[string]*retrycap.Cap
	// calls holds the requests that wait for a decision.
	calls map[int64]*call
	// breaks holds the requests whose server broke off lately, by the server's address.
	breaks map[string][]broken
	// listNews is closed and replaced when the list was read, could not be read, or was confirmed by a peer.
	listNews chan struct{}
	// listed says that the last own read of the server list succeeded, unlisted that it failed.
	listed   bool
	unlisted bool
	// ready holds the servers that may get work by the last change of the list, and listSource says whose it was.
	ready      []laburnumring.ServerEntry
	listSource string
	// listReads and configurationReads divide the reads among the routers.
	listReads          *readshare.Share
	configurationReads *readshare.Share
	// asking says that a peer is being asked for its state.
	asking bool
}

// broken is a request whose server broke off.
type broken struct {
	fingerprint uint64
	server      string
	at          clock.Millis
}

// New returns a router that does nothing until Run.
func New(o Options) *Router {
	if o.Summaries == nil {
		o.Summaries = o.Logger
	}
	r := &Router{
		o: o, pool: upstream.New(upstream.Options{Clock: o.Clock}), metrics: newMetrics(),
		roster: roster.New(), intake: intake.New(intake.Options{Place: o.Place}),
		suspects: suspect.New(suspect.Options{}),
		rotation: rotation.New(rotation.Options{Name: o.Address.Addr().String()}),
		retries:  make(map[string]*retrycap.Cap), listNews: make(chan struct{}),
		calls: make(map[int64]*call), breaks: make(map[string][]broken),
		listReads: readshare.New(readshare.Options{
			Readers: listReaders, Interval: listInterval, Retry: listRetry, MaxAge: maxListAge, Stagger: readStagger,
		}),
		configurationReads: readshare.New(readshare.Options{
			Readers: configurationReaders, MaxAge: maxConfigurationAge, Stagger: readStagger,
		}),
	}
	r.metrics.registry.MustRegister(o.Collectors...)
	r.gossip = gossip.New(gossip.Options{
		Address: o.Address, Seeds: o.Seeds, Incarnation: o.Incarnation, Clock: o.Clock, Logger: o.Logger,
		Message: r.message, Received: r.received,
	})
	return r
}

// Run works until ctx ends and then shuts down: it goes on taking requests until callers' new connections go
// elsewhere, and waits for those in progress.
func (r *Router) Run(ctx context.Context) error {
	loops, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	var wg sync.WaitGroup
	for _, loop := range []func(context.Context){r.followConfiguration, r.followServers, r.poll, r.summarise, r.prune} {
		wg.Go(func() { loop(loops) })
	}
	failed := make(chan error, 2)
	wg.Go(func() { failed <- r.gossip.Run(loops) })
	wg.Go(func() { failed <- r.servePeers(loops) })
	r.o.Logger.Log(event.Started, "router", r.o.Name, "incarnation", r.o.Incarnation)
	var err error
	select {
	case <-ctx.Done():
		r.shutdown()
	case err = <-failed:
	}
	cancel()
	wg.Wait()
	r.background.Wait()
	return err
}

// Times of a shutdown, from its beginning.
const (
	// acceptTime is how long new requests are taken: the balancer notices within two of its looks, one a second.
	acceptTime = 2000 * clock.Millis(1)
	// endMargin is how long before the end of the grace time the process gives up on requests in progress.
	endMargin = 900 * time.Millisecond
)

func (r *Router) shutdown() {
	r.o.Logger.Log(event.Stopping, "in_progress", r.inbound.Load())
	now := r.o.Clock.Now()
	r.stopping.Store(int64(now))
	end := now + clock.FromDuration(r.o.Grace-endMargin)
	for {
		now = r.o.Clock.Now()
		accepting := now < clock.Millis(r.stopping.Load())+acceptTime
		if !accepting && r.inbound.Load() == 0 {
			break
		}
		if now > end {
			r.o.Logger.Log(event.ShutdownLimitReached, "in_progress", r.inbound.Load())
			break
		}
		time.Sleep(stopLook)
	}
	r.o.Logger.Log(event.Stopped)
}

// Limits returns how long callers may take for a header and keep a connection idle by the configuration in force; zero
// where it does not say.
func (r *Router) Limits() (header, idle time.Duration) {
	t := r.table.Load()
	if t == nil {
		return 0, 0
	}
	return t.Limits().HeaderTimeout.Duration(), t.Limits().IdleTimeout.Duration()
}

// Requests returns how many requests came.
func (r *Router) Requests() int64 { return r.count.Load() }

// Ready reports whether new connections should come to this router: not while it cannot send, or others have more
// processor time.
func (r *Router) Ready() bool { return r.serving() && !r.away.Load() && r.listYoung() }

// serving reports whether the router has a configuration and does not stop.
func (r *Router) serving() bool { return r.stopping.Load() == 0 && r.table.Load() != nil }

// state returns what the other routers are told of this one; callers hold mu.
func (r *Router) state(now clock.Millis) rotation.State {
	return rotation.State{
		Place: r.o.Place, Capacity: r.o.Capacity, Serving: r.serving() && r.listUsable(now), Overloaded: r.overloaded,
		Strained: r.rotation.Strained(now), Away: r.away.Load(),
	}
}

// accepting reports whether a request that has just been read may still be served.
func (r *Router) accepting(now clock.Millis) bool {
	s := clock.Millis(r.stopping.Load())
	return s == 0 || now < s+acceptTime
}

// decide tells waiting requests what became of them; callers hold mu.
func (r *Router) decide() {
	if r.intake.Waiting() == 0 {
		return
	}
	for _, d := range r.intake.Poll(r.o.Clock.Now()) {
		if c, ok := r.calls[d.Request]; ok {
			delete(r.calls, d.Request)
			c.decided <- d
		}
	}
}

// prune forgets what is not needed any more.
func (r *Router) prune(ctx context.Context) {
	interval.Every(ctx, pruneInterval, func() {
		r.pool.Prune()
		now := r.o.Clock.Now()
		r.mu.Lock()
		defer r.mu.Unlock()
		r.pool.SetMaxIdle(r.idleBounds())
		r.suspects.Prune(now)
		r.metrics.state(r.intake.Waiting(), r.inbound.Load(), r.suspects.SuspectCount())
		r.metrics.kept.Set(float64(r.roster.CountKept()))
		for address, list := range r.breaks {
			if now-list[len(list)-1].at > breakWindow {
				delete(r.breaks, address)
			}
		}
	})
}

// idlePart is the part of the connections that a server takes which routers may keep idle together: the others are in use.
const idlePart = 0.5

// idleBounds returns how many idle connections may be kept to each server's address; callers hold mu.
func (r *Router) idleBounds() map[string]int {
	t := r.table.Load()
	if t == nil {
		return nil
	}
	out := make(map[string]int, len(r.ready))
	routers := 1 + len(r.gossip.Peers())
	for _, e := range r.ready {
		if s, ok := t.Service(e.Service); ok && s.MaxConns > 0 {
			out[e.Address] = max(1, int(idlePart*float64(s.MaxConns))/routers)
		}
	}
	return out
}

// minRetryParts is among how many routers the burst is divided at least: twice those of a small site, so that VMs which
// are added and routers that have just begun stay within it.
const minRetryParts = 10

// retryCap returns the bound on a service's repeated sends; callers hold mu.
func (r *Router) retryCap(service string) *retrycap.Cap {
	c, ok := r.retries[service]
	if !ok {
		c = retrycap.New(r.o.Retry)
		r.retries[service] = c
	}
	return c
}
