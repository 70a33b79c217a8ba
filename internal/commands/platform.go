package commands

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/signal"
	"runtime/debug"
	"strconv"
	"sync"
	"syscall"
	"time"

	"github.com/alecthomas/kingpin/v2"
	"github.com/gorilla/mux"
	"github.com/joomcode/errorx"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/laburnumring/laburnumring/internal/deadpeer"
	"github.com/laburnumring/laburnumring/internal/direct"
	"github.com/laburnumring/laburnumring/internal/event"
	"github.com/laburnumring/laburnumring/internal/gcpace"
	"github.com/laburnumring/laburnumring/internal/httpserve"
	"github.com/laburnumring/laburnumring/internal/incarnation"
	"github.com/laburnumring/laburnumring/internal/ingress"
	"github.com/laburnumring/laburnumring/internal/logqueue"
	"github.com/laburnumring/laburnumring/internal/retrycap"
	"github.com/laburnumring/laburnumring/internal/wallclock"
	"github.com/laburnumring/laburnumring/platform"
)

// Fixed parameters of a router on the platform. The fractions of memory refer to the platform's memory limit.
const (
	// lowRateGC and highRateGC are the garbage collector's target percentages (GOGC) at low and high request rates.
	// Memory is scarcer than processor time until requests arrive faster than a third of a core can handle with
	// frequent collections.
	lowRateGC  = 40
	highRateGC = 200
	// highRequestRate is the rate, in requests per second, from which highRateGC applies.
	highRequestRate = 350
	// memoryLimitFraction of the memory limit is the Go runtime's soft limit. Above it the collector runs as often as
	// necessary, whatever processor time that takes.
	memoryLimitFraction = 0.7
	// closeTimeout limits closing the connections that are still open after the router has waited for its requests. The
	// process must end before the platform kills it.
	closeTimeout = 150 * time.Millisecond
	// defaultIdleTimeout applies to idle connections until a configuration with its own timeout is in force.
	defaultIdleTimeout = 20 * time.Second
	// maxHeaderBytes is the longest request header that is read; the configuration's limit is lower.
	maxHeaderBytes = 256 << 10
	// headSeparators and headSlack relate the length of a head to the configuration's limit. The slack covers the request
	// line, and the part of a body that is read together with the head.
	headSeparators = 5
	headSlack      = 8 << 10
	// unusedTime is how long a connection on which nothing was received is kept while the maximum of connections is open.
	unusedTime = 1 * time.Second
	// ownMaxConns, ownMaxHeaderBytes and ownWriteTimeout limit the listeners for readiness and metrics. The balancer and
	// the collectors of metrics send heads of a few hundred bytes on a few connections.
	ownMaxConns       = 32
	ownMaxHeaderBytes = 8 << 10
	ownWriteTimeout   = 10 * time.Second
	// headMemoryFraction, bodyMemoryFraction and answerMemoryFraction are the fractions of memory that request heads,
	// request bodies and buffered answers may occupy. With what the process needs at rest, callers' connections and the
	// memory that the garbage collector has not reclaimed yet, they stay below the limit of the smallest routers.
	headMemoryFraction   = 0.05
	bodyMemoryFraction   = 0.15
	answerMemoryFraction = 0.08
	// connMemoryFraction is the fraction of memory that callers' connections may occupy before the router stops keeping
	// them alive after an answer. bytesPerConn is the memory of one connection: its buffers, its goroutines and what
	// the kernel buffers of a request that was not read.
	connMemoryFraction = 0.25
	bytesPerConn       = 32 << 10
	// maxConnsFactor is the most open connections, as a multiple of the number from which they are no longer kept
	// alive.
	maxConnsFactor = 1.25
	// refusedConnMs is the processor time of a new connection whose request is refused, in milliseconds.
	// BenchmarkRefused measures 0.14; as much again is added for the system calls, which the platform charges too.
	refusedConnMs = 0.3
	// connFileFraction is the fraction of the file descriptor limit from which callers' connections are not kept alive.
	connFileFraction = 0.4
	// retryRatioFraction is the fraction of the allowed retry ratio that a router uses, because it counts requests and
	// retries in windows that do not align with the platform's.
	retryRatioFraction = 0.8
)

func registerPlatformRouter(app *kingpin.Application, env *environment) (string, func(context.Context) error) {
	cmd := app.Command("platform-router", "Run a router on an entry VM of the platform.")
	file := cmd.Flag("settings", "The platform's settings file.").Envar(platform.SettingsVariable).Required().String()
	metrics := cmd.Flag("metrics-port", "The port of the metrics interface.").Default("9464").Uint16()
	return cmd.FullCommand(), func(ctx context.Context) error {
		// Handle SIGHUP before anything else, because its default action ends the process.
		hangup := make(chan os.Signal, 1)
		signal.Notify(hangup, syscall.SIGHUP)
		defer signal.Stop(hangup)
		s, err := platform.ReadSettings(*file)
		if err != nil {
			return logRejectedSettings(env, "router", err)
		}
		if s.MemoryBytes > 0 {
			debug.SetMemoryLimit(int64(memoryLimitFraction * float64(s.MemoryBytes)))
		}
		lines := logqueue.New(env.stdout, logqueue.Options{})
		defer lines.Close()
		logger := event.NewLogger(lines, "logfmt", "router")
		summaries := event.NewLogger(lines.Reserved(), "logfmt", "router")
		lines.SetDropped(func(n int64) { logger.Log(event.LinesDropped, "lines", n) })
		var background sync.WaitGroup
		defer background.Wait()
		ctx, cancel := context.WithCancel(ctx)
		defer cancel()
		background.Go(func() { reloadOnHangup(ctx, hangup, logger, *file) })
		account := newAccount(s)
		r := newPlatformRouter(s, account, logger, summaries)
		background.Go(func() {
			gcpace.Run(ctx, gcpace.Options{NormalPercent: lowRateGC, BusyPercent: highRateGC, BusyRate: highRequestRate, Count: r.Requests})
		})
		return servePlatform(ctx, s, r, account, *metrics, logger)
	}
}

// newAccount returns the account of what callers consume.
func newAccount(s platform.Settings) *ingress.Account {
	part := func(fraction float64) int64 { return int64(fraction * float64(s.MemoryBytes)) }
	return ingress.New(ingress.Options{
		Clock: wallclock.New(), Heads: part(headMemoryFraction), Bodies: part(bodyMemoryFraction), Answers: part(answerMemoryFraction),
	})
}

func newPlatformRouter(s platform.Settings, account *ingress.Account, logger, summaries *event.Logger) *direct.Router {
	store := platform.NewStore(platform.StoreOptions{
		Address: s.Store.String(),
		OnInvalidEra: func(address string, err error) {
			logger.Log(event.StoreEraInvalid, "address", address, "error", err)
		},
	})
	var seeds []netip.Addr
	for _, a := range s.Seeds {
		seeds = append(seeds, a.Addr())
	}
	return direct.New(direct.Options{
		Name: s.Name, Place: s.Place, Incarnation: incarnation.New(),
		Address: netip.AddrPortFrom(s.Callers.Addr(), s.PeerPort), Seeds: seeds,
		Clock: wallclock.New(), Dialect: platform.Dialect{}, Decode: platform.DecodeConfiguration,
		Configurations: platform.NewConfigurations(store, func(key string, offset int64, err error) {
			logger.Log(event.PlatformRecordBad, "record", key, "offset", offset, "error", err)
		}),
		Servers: platform.NewServers(store, func(key string, offset int64, err error) {
			logger.Log(event.PlatformRecordBad, "record", key, "offset", offset, "error", err)
		}),
		Lineage: platform.NewLineage(store, func(key string, offset int64, err error) {
			logger.Log(event.PlatformRecordBad, "record", key, "offset", offset, "error", err)
		}),
		Evidence: platform.NewEvidence(store),
		Retry: retrycap.Options{
			Window: s.RetryWindow, Ratio: retryRatioFraction * s.RetryRatio, Burst: s.RetryBurst,
		},
		FirstStart: s.FirstStart, DrainTime: s.DrainTime, Grace: s.Grace, Capacity: s.Capacity, Logger: logger, Summaries: summaries,
		ColdOverage: s.ColdOverage, ColdSlack: s.ColdSlack,
		Account: account, Collectors: []prometheus.Collector{ingress.NewCollector(account)},
	})
}

// servePlatform serves callers, the load balancer's readiness probe and metrics while r runs.
func servePlatform(
	ctx context.Context, s platform.Settings, r *direct.Router, account *ingress.Account, metricsPort uint16, logger *event.Logger,
) error {
	ready := mux.NewRouter()
	ready.HandleFunc("/readyz", func(w http.ResponseWriter, _ *http.Request) {
		if !r.Ready() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
	metrics := mux.NewRouter()
	metrics.Handle("/metrics", r.Metrics())
	// Accepted connections inherit the listener's socket options, which saves system calls for each connection.
	lc := net.ListenConfig{KeepAlive: -1, Control: deadpeer.ControlListener}
	listen := func() (net.Listener, error) { return lc.Listen(context.WithoutCancel(ctx), "tcp", s.Callers.String()) }
	reopen := func() (net.Listener, error) {
		ln, err := listen()
		if err != nil {
			logger.Log(event.ListenerNotOpened, "address", s.Callers, "error", err)
		}
		return ln, err
	}
	callers, err := listen()
	if err != nil {
		return errorx.Decorate(err, "listen for callers")
	}
	// own adds the limits of the listeners for readiness and metrics, which need few connections and short heads.
	own := func(l httpserve.Listener) httpserve.Listener {
		l.CloseTimeout, l.WriteTimeout, l.Account = closeTimeout, ownWriteTimeout, account
		l.MaxConns, l.UnusedTime, l.MaxHeaderBytes = ownMaxConns, time.Millisecond, ownMaxHeaderBytes
		l.MaxHead = func() int { return ownMaxHeaderBytes }
		return l
	}
	softConns := min(int(connFileFraction*float64(s.MaxFiles)), int(connMemoryFraction*float64(s.MemoryBytes)/bytesPerConn))
	return httpserve.Serve(ctx, r.Run,
		httpserve.Listener{
			Net: callers, Handler: r.Handler(), CloseTimeout: closeTimeout, IdleTimeout: defaultIdleTimeout, Limits: r.Limits,
			MaxHeaderBytes: maxHeaderBytes, MaxHead: func() int { return maxHead(r.HeaderBytes()) }, Account: account,
			UnusedTime: unusedTime, KeepUsed: true, MaxKeepAliveConns: softConns, MaxConns: int(maxConnsFactor * float64(softConns)),
			Saturated: r.Saturated, Busy: r.Busy, Reopen: reopen,
			ConnsPerSecond: float64(s.Capacity) / refusedConnMs, ShedStarted: r.ShedStarted, ShedEnded: r.ShedEnded,
		},
		own(httpserve.Listener{Address: s.Ready.String(), Handler: ready}),
		own(httpserve.Listener{
			Address: net.JoinHostPort(s.Callers.Addr().String(), strconv.Itoa(int(metricsPort))), Handler: metrics,
		}),
	)
}

// maxHead returns the maximum length of a head as it is received, 0 if the configuration does not limit it. Its limit
// counts names and values only: the colon, a space and the line end add four bytes to each header, of which each has at
// least one.
func maxHead(headerBytes int) int {
	if headerBytes == 0 {
		return 0
	}
	return headSeparators*headerBytes + headSlack
}

// reloadOnHangup reads the settings file again at each SIGHUP and logs whether it is valid. The running router keeps
// the settings that it started with.
func reloadOnHangup(ctx context.Context, hangup <-chan os.Signal, logger *event.Logger, file string) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-hangup:
			start := time.Now()
			if _, err := platform.ReadSettings(file); err != nil {
				logger.Log(event.SettingsRejected, "error", err)
				continue
			}
			logger.Log(event.SettingsReloaded, "took_ms", time.Since(start).Milliseconds())
		}
	}
}
