// Package direct implements the router for services that are reached without agents. It terminates the callers' HTTP
// connections, chooses a backend server for each request and forwards the answer.
package direct

import (
	"context"
	"maps"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/laburnumring/laburnumring"
	"github.com/laburnumring/laburnumring/internal/evacuation"
	"github.com/laburnumring/laburnumring/internal/event"
	"github.com/laburnumring/laburnumring/internal/gossip"
	"github.com/laburnumring/laburnumring/internal/graceperiod"
	"github.com/laburnumring/laburnumring/internal/ingress"
	"github.com/laburnumring/laburnumring/internal/intake"
	"github.com/laburnumring/laburnumring/internal/interval"
	"github.com/laburnumring/laburnumring/internal/lineage"
	"github.com/laburnumring/laburnumring/internal/quarantine"
	"github.com/laburnumring/laburnumring/internal/readshare"
	"github.com/laburnumring/laburnumring/internal/retrycap"
	"github.com/laburnumring/laburnumring/internal/roster"
	"github.com/laburnumring/laburnumring/internal/rotation"
	"github.com/laburnumring/laburnumring/internal/routing"
	"github.com/laburnumring/laburnumring/internal/standstill"
	"github.com/laburnumring/laburnumring/internal/upstream"
	"github.com/laburnumring/laburnumring/internal/worktime"
	"github.com/laburnumring/laburnumring/pkg/clock"
)

// Options configures a Router.
type Options struct {
	// Name is the router's name and Place the name of its data centre.
	Name  string
	Place string
	// Incarnation is unique to this run of the process.
	Incarnation string
	// Address is the router's IP address with the port on which its peers reach it, Seeds the IP addresses of some
	// peers.
	Address netip.AddrPort
	Seeds   []netip.Addr
	// Clock is the time source.
	Clock laburnumring.Clock
	// Dialect translates the platform's headers, and Decode parses a configuration's text.
	Dialect laburnumring.Dialect
	Decode  func(text []byte) (*routing.Table, error)
	// Configurations and Servers read the platform's configuration and its list of backend servers.
	Configurations laburnumring.ConfigurationWatcher
	Servers        laburnumring.ServerLister
	// Lineage keeps on the platform which software versions began streams.
	Lineage laburnumring.LineageLog
	// FirstStart is set if no router of the system has run before.
	FirstStart bool
	// Evidence keeps there what is known of requests that crash servers.
	Evidence laburnumring.EvidenceLog
	// Retry limits the repeated attempts of each service: Ratio applies to this router, Burst to all routers together.
	Retry retrycap.Options
	// Account limits the memory of request bodies and buffered answers; nil means no limit.
	Account *ingress.Account
	// ColdOverage and ColdSlack bound the requests that a cold server gets in any second from all routers: its service's
	// rate times ColdOverage plus ColdSlack. No server is treated as cold if ColdOverage is 0.
	ColdOverage float64
	ColdSlack   float64
	// Capacity is the router's processor time in thousandths of a core; 0 if it is not known.
	Capacity int
	// DrainTime is how long a server that leaves accepts requests after its entry says so; two seconds if zero.
	DrainTime time.Duration
	// Grace is the time from the request to stop until the process must have exited.
	Grace time.Duration
	// Logger writes events.
	Logger *event.Logger
	// Summaries writes the lines that summarise each second; Logger if nil.
	Summaries *event.Logger
	// Collectors are registered with the router's metrics.
	Collectors []prometheus.Collector
}

// Intervals of the router's loops.
const (
	// stopPollInterval is the time between checks during a shutdown whether the last request has ended.
	stopPollInterval = 10 * time.Millisecond
	// listInterval is the time between reads of the list of backend servers by the routers that always read it.
	// maxListAge is the age of what other routers have read above which a router reads the list itself. Both plus the
	// duration of a read stay well under two seconds, within which a server that leaves must stop getting work.
	listInterval = 700 * clock.Millis(1)
	maxListAge   = 1000 * clock.Millis(1)
	// listTimeout limits a read of the list. A slow store takes 0.3 seconds to answer. Together, listTimeout and
	// listRetryInterval determine how precisely the end of an outage is known.
	listTimeout       = 700 * time.Millisecond
	listRetryInterval = 250 * clock.Millis(1)
	// maxSendListAge is the age above which the list must be read again before anything is sent, unless the store is
	// unavailable to all routers. It leaves 0.3 seconds of the two for the send. maxListWait limits how long a request
	// waits for that read.
	maxSendListAge = 1700 * clock.Millis(1)
	maxListWait    = 1 * time.Second
	// maxConfigurationAge is the same as maxListAge for the configuration, which must take effect within two seconds.
	maxConfigurationAge = 1500 * clock.Millis(1)
	// readStagger spreads the routers' reads, so that they do not all start at the same time.
	readStagger = 100 * clock.Millis(1)
	// listReaders and configurationReaders are how many routers read whatever their peers report. A read of the
	// configuration returns when there is a change, so more readers do not mean more calls per change.
	listReaders          = 2
	configurationReaders = 4
	// maxReadWait limits the time between two checks whether a read is due.
	maxReadWait   = 100 * time.Millisecond
	pruneInterval = 1 * time.Second
	// retryPause is the pause after a failed call to the platform.
	retryPause = 250 * time.Millisecond
	// defaultDrainTime is the default of Options.DrainTime. unreadyTTL is how long a server that left is remembered, which
	// is longer than its last answers take.
	defaultDrainTime = 2 * time.Second
	unreadyTTL       = 2 * clock.Minute
)

// Router is the router of one process.
type Router struct {
	o       Options
	pool    *upstream.Pool
	gossip  *gossip.Exchange
	metrics *metrics
	// table is the configuration in force; nil before the first.
	table atomic.Pointer[routing.Table]
	// stopping is the schedule of the shutdown; nil before.
	stopping atomic.Pointer[graceperiod.Plan]
	// ending ends when requests in progress are given up.
	ending    context.Context
	giveUpAll context.CancelFunc
	// inbound is the number of callers' requests that have not been answered.
	inbound atomic.Int64
	// outOfRotation is set while new connections should go to other routers.
	outOfRotation atomic.Bool
	// busy is set while the process has too little processor time for the requests in progress.
	busy atomic.Bool
	// saturated is set while it has none for new connections either. lastShed is when new connections were last reset.
	saturated atomic.Bool
	lastShed  atomic.Int64
	// shedTime is the total time in which new connections were reset, in nanoseconds.
	shedTime     atomic.Int64
	requestCount atomic.Int64
	// background waits for the goroutines that check servers and fetch state from peers.
	background sync.WaitGroup

	// decoding is held while a configuration is decoded and put in force. It is locked before mu.
	decoding sync.Mutex

	mu sync.Mutex
	// The fields below are guarded by mu.
	configuration laburnumring.ConfigurationText
	roster        *roster.Roster
	intake        *intake.Controller
	// evacuated holds the places to whose servers nothing may be sent.
	evacuated  *evacuation.State
	quarantine *quarantine.List
	// workTimes is how long servers work on the requests of each route.
	workTimes  *worktime.Estimates
	lineage    *lineage.Tracker
	record     record
	evidence   evidence
	rotation   *rotation.Controller
	standstill standstill.Detector
	// overloaded is set while the process gets too little processor time for its connections.
	overloaded bool
	// timerLag is the mean lateness of timers; busyTime is how long streams have been refused for lack of processor
	// time since the start.
	timerLag  clock.Millis
	busyTime  time.Duration
	retryCaps map[string]*retrycap.Cap
	// pending holds the requests that wait for a decision.
	pending map[int64]*call
	// disconnects holds the requests whose server recently broke the connection, by the server's address.
	disconnects map[string][]disconnect
	// listUpdated is closed and replaced when the list was read, could not be read, or was confirmed by a peer.
	listUpdated chan struct{}
	// listWanted wakes the reader of the list.
	listWanted chan struct{}
	// listReachable is set if this router's last read of the server list succeeded, listUnreachable if it failed.
	listReachable   bool
	listUnreachable bool
	// readyServers holds the servers that may get work as of the last change of the list, and listSource names who
	// reported that change.
	readyServers []laburnumring.ServerEntry
	listSource   string
	// unreadyAt is when servers were last found not to get work any more, by id.
	unreadyAt map[string]clock.Millis
	// listReads and configurationReads divide the reads among the routers.
	listReads          *readshare.Schedule
	configurationReads *readshare.Schedule
	// abortRead aborts the read that waits for the operator's next records; nil before the first.
	abortRead context.CancelCauseFunc
	// fetching is set while newer state is being fetched from a peer.
	fetching bool
}

// disconnect is a request whose server broke the connection.
type disconnect struct {
	server string
	// evidence is what the request is evidence of if the server is found to be gone.
	evidence quarantine.Break
	at       clock.Millis
}

// New returns a router that is idle until Run is called.
func New(o Options) *Router {
	if o.DrainTime == 0 {
		o.DrainTime = defaultDrainTime
	}
	if o.Summaries == nil {
		o.Summaries = o.Logger
	}
	r := &Router{
		o: o, pool: upstream.New(upstream.Options{Clock: o.Clock}), metrics: newMetrics(),
		roster: roster.New(), intake: intake.New(intake.Options{
			Place: o.Place, Name: o.Address.Addr().String(), Alone: alone(o), ColdOverage: o.ColdOverage, ColdSlack: o.ColdSlack,
		}),
		evacuated: evacuation.New(), lineage: lineage.New(), record: newRecord(), workTimes: worktime.New(),
		evidence: evidence{wanted: make(chan struct{}, 1)}, listWanted: make(chan struct{}, 1),
		rotation:  rotation.New(rotation.Options{Name: o.Address.Addr().String()}),
		retryCaps: make(map[string]*retrycap.Cap), listUpdated: make(chan struct{}),
		unreadyAt: make(map[string]clock.Millis),
		pending:   make(map[int64]*call), disconnects: make(map[string][]disconnect),
		listReads: readshare.New(readshare.Options{
			Readers: listReaders, Interval: listInterval, Retry: listRetryInterval, MaxAge: maxListAge, Stagger: readStagger,
		}),
		configurationReads: readshare.New(readshare.Options{
			Readers: configurationReaders, MaxAge: maxConfigurationAge, Stagger: readStagger,
		}),
	}
	r.ending, r.giveUpAll = context.WithCancel(context.Background())
	r.quarantine = quarantine.New(quarantine.Options{Changed: r.quarantineChanged})
	r.metrics.registry.MustRegister(o.Collectors...)
	r.gossip = gossip.New(gossip.Options{
		Address: o.Address, Seeds: o.Seeds, Incarnation: o.Incarnation, Place: o.Place, Clock: o.Clock, Logger: o.Logger,
		Message: r.message, Received: r.received, Origins: r.relayedOrigins,
	})
	r.metrics.registry.MustRegister(peerCollectors(r.gossip)...)
	return r
}

// Run runs the router until ctx ends and then shuts it down: it accepts requests until callers' new connections go to
// other routers, and waits for those in progress.
func (r *Router) Run(ctx context.Context) error {
	loops, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	var wg sync.WaitGroup
	for _, loop := range []func(context.Context){
		r.followConfiguration, r.followServers, r.followRecord, r.admitVersions, r.recordOrigins, r.keepEvidence, r.poll,
		r.summarise, r.prune,
	} {
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

// answerTime is how long the requests that are given up at the end of a shutdown have to answer their callers.
const answerTime = 100 * time.Millisecond

func (r *Router) shutdown() {
	r.o.Logger.Log(event.Stopping, "in_progress", r.inbound.Load())
	p := graceperiod.New(r.o.Clock.Now(), clock.FromDuration(r.o.Grace))
	r.stopping.Store(&p)
	for {
		now := r.o.Clock.Now()
		r.refuseWaiting(now)
		if !p.Accepts(now) && r.inbound.Load() == 0 {
			break
		}
		if now > p.End() {
			r.o.Logger.Log(event.ShutdownLimitReached, "in_progress", r.inbound.Load())
			r.giveUpAll()
			for end := time.Now().Add(answerTime); r.inbound.Load() > 0 && time.Now().Before(end); {
				time.Sleep(stopPollInterval)
			}
			break
		}
		time.Sleep(stopPollInterval)
	}
	r.o.Logger.Log(event.Stopped)
}

// refuseWaiting refuses the waiting requests that could not end before the shutdown does.
func (r *Router) refuseWaiting(now clock.Millis) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for seq, c := range r.pending {
		if r.admits(now, c) {
			continue
		}
		delete(r.pending, seq)
		r.intake.Withdraw(seq)
		r.intake.RecordRefusal(c.request(), reasonStopping)
		c.decided <- intake.Decision{Request: seq, Refusal: stoppingError()}
	}
}

// reasonStopping is the reason of refusals while the router is shutting down.
const reasonStopping = "stopping"

func stoppingError() *intake.RefusedError {
	return &intake.RefusedError{Reason: reasonStopping, RetryAfter: rejectRetryAfter}
}

// admits reports whether the shutdown, if there is one, leaves enough time for a request. The caller holds mu.
func (r *Router) admits(now clock.Millis, c *call) bool {
	p := r.stopping.Load()
	return p == nil || p.Admits(now, r.workTimes.Estimate(c.route.Name()))
}

// Limits returns how long callers may take to send a header and keep a connection idle according to the configuration
// in force; zero where the configuration sets no limit.
func (r *Router) Limits() (header, idle time.Duration) {
	t := r.table.Load()
	if t == nil {
		return 0, 0
	}
	return t.Limits().HeaderTimeout.Duration(), t.Limits().IdleTimeout.Duration()
}

// HeaderBytes returns the maximum size of a request's header according to the configuration in force; 0 for no limit.
func (r *Router) HeaderBytes() int {
	if t := r.table.Load(); t != nil {
		return t.Limits().HeaderBytes
	}
	return 0
}

// Requests returns the number of requests received since the start.
func (r *Router) Requests() int64 { return r.requestCount.Load() }

// Ready reports whether new connections should come to this router. It is false while the router cannot send, or while
// other routers have more processor time.
func (r *Router) Ready() bool { return r.serving() && !r.outOfRotation.Load() && r.listUsable() }

// serving reports whether the router has a configuration and is not shutting down.
func (r *Router) serving() bool { return r.stopping.Load() == nil && r.table.Load() != nil }

// state returns the state that is sent to the other routers. The caller holds mu.
func (r *Router) state(now clock.Millis) rotation.State {
	return rotation.State{
		Place: r.o.Place, Capacity: r.o.Capacity, Serving: r.serving() && r.listUsableLocked(now), Overloaded: r.overloaded,
		RecentlyOverloaded: r.rotation.RecentlyOverloaded(now), OutOfRotation: r.outOfRotation.Load(),
	}
}

// accepting reports whether requests are still read.
func (r *Router) accepting(now clock.Millis) bool {
	p := r.stopping.Load()
	return p == nil || p.Accepts(now)
}

// deliverDecisions passes the decisions that are due to the waiting requests. The caller holds mu.
func (r *Router) deliverDecisions() {
	if r.intake.Waiting() == 0 {
		return
	}
	for _, d := range r.intake.Poll(r.o.Clock.Now()) {
		if c, ok := r.pending[d.Request]; ok {
			delete(r.pending, d.Request)
			c.decided <- d
		}
	}
}

// prune removes expired state at regular intervals and updates the gauges.
func (r *Router) prune(ctx context.Context) {
	counts := make(ingressCounts)
	interval.Every(ctx, pruneInterval, func() {
		r.pool.Prune()
		counts.log(r.o.Account, r.o.Logger)
		now := r.o.Clock.Now()
		r.mu.Lock()
		defer r.mu.Unlock()
		r.pool.SetMaxIdle(r.idleLimits())
		r.quarantine.Prune(now)
		r.metrics.quarantined.Set(float64(r.quarantine.Count()))
		r.intake.PrunePauses(now)
		r.intake.PruneLimits(now)
		r.metrics.limited.Set(float64(r.intake.LimitedServers(now)))
		r.logCold(now)
		r.roster.Prune(now)
		maps.DeleteFunc(r.unreadyAt, func(_ string, at clock.Millis) bool { return now-at > unreadyTTL })
		r.metrics.setGauges(r.intake.Waiting(), r.inbound.Load(), r.quarantine.Casualties())
		r.metrics.retained.Set(float64(r.roster.RetainedCount()))
		for address, list := range r.disconnects {
			if now-list[len(list)-1].at > disconnectWindow {
				delete(r.disconnects, address)
			}
		}
	})
}

// idleFraction is the fraction of a server's connection limit that all routers together may keep idle; the other
// connections are in use.
const idleFraction = 0.5

// idleLimits returns how many idle connections may be kept to each server's address. The caller holds mu.
func (r *Router) idleLimits() map[string]int {
	t := r.table.Load()
	if t == nil {
		return nil
	}
	out := make(map[string]int, len(r.readyServers))
	routers := 1 + len(r.gossip.Peers())
	for _, e := range r.readyServers {
		if s, ok := t.Service(e.Service); ok && s.MaxConns > 0 {
			out[e.Address] = max(1, int(idleFraction*float64(s.MaxConns))/routers)
		}
	}
	return out
}

// minRetryShares is the least number of routers among which the burst is divided. It is twice the number of routers of
// a small site, so that VMs which are added and routers which have just started stay within the limit.
const minRetryShares = 10

// retryCap returns the limiter of a service's repeated attempts. The caller holds mu.
func (r *Router) retryCap(service string) *retrycap.Cap {
	c, ok := r.retryCaps[service]
	if !ok {
		c = retrycap.New(r.o.Retry)
		r.retryCaps[service] = c
	}
	return c
}
