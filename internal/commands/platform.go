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

	"github.com/laburnumring/laburnumring/internal/deadpeer"
	"github.com/laburnumring/laburnumring/internal/direct"
	"github.com/laburnumring/laburnumring/internal/event"
	"github.com/laburnumring/laburnumring/internal/gcpace"
	"github.com/laburnumring/laburnumring/internal/httpserve"
	"github.com/laburnumring/laburnumring/internal/incarnation"
	"github.com/laburnumring/laburnumring/internal/logqueue"
	"github.com/laburnumring/laburnumring/internal/retrycap"
	"github.com/laburnumring/laburnumring/internal/wallclock"
	"github.com/laburnumring/laburnumring/platform"
)

// Settings of a router on the platform.
const (
	// calmGarbage and busyGarbage are the collector's targets in percent: processor time is cheap there and memory
	// dear, until requests come faster than a third of a core can take with frequent collections.
	calmGarbage = 40
	busyGarbage = 200
	// busyRate is in requests a second.
	busyRate = 350
	// memoryPart is the part of the memory limit above which garbage is collected at any cost.
	memoryPart = 0.7
	// closeTimeout bounds the end of what is still open when the router has waited for its requests: the process must
	// end before the platform kills it.
	closeTimeout = 150 * time.Millisecond
	// idleTimeout counts until a configuration is held, whose own figure counts then.
	idleTimeout = 20 * time.Second
	// headerBytes is the longest header that is read; the configuration's bound is shorter.
	headerBytes = 256 << 10
	// heldPart is the part of the memory that callers' bodies may take.
	heldPart = 0.15
	// connPart is the part of the memory that callers' connections may take before they are not kept, and connBytes
	// what one takes: its buffers, goroutines and what the kernel holds of a request that was not read.
	connPart  = 0.25
	connBytes = 32 << 10
	// maxConns is the most connections, as a multiple of those from which on they are not kept.
	maxConns = 1.25
	// connTime is the processor time of a new connection whose request is refused, in milliseconds: 0.14 by measurement
	// (BenchmarkRefused) and as much again for what the platform charges for calls of the kernel.
	connTime = 0.3
	// softConns is the part of the file limit from which on callers' connections are not kept.
	softConns = 0.4
	// retryCaution is the part of the allowed ratio that a router uses, as its requests and repeats are counted in
	// windows that do not match the platform's.
	retryCaution = 0.8
)

func registerPlatformRouter(app *kingpin.Application, env *environment) (string, func(context.Context) error) {
	cmd := app.Command("platform-router", "Run a router on an entry VM of the users' platform.")
	file := cmd.Flag("settings", "The platform's settings file.").Envar(platform.SettingsVariable).Required().String()
	metrics := cmd.Flag("metrics-port", "The port of the metrics interface.").Default("9464").Uint16()
	return cmd.FullCommand(), func(ctx context.Context) error {
		// Before anything else: the signal's default ends the process.
		hangup := make(chan os.Signal, 1)
		signal.Notify(hangup, syscall.SIGHUP)
		defer signal.Stop(hangup)
		s, err := platform.ReadSettings(*file)
		if err != nil {
			return rejected(env, "router", err)
		}
		if s.MemoryBytes > 0 {
			debug.SetMemoryLimit(int64(memoryPart * float64(s.MemoryBytes)))
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
		r := newDirect(s, logger, summaries)
		background.Go(func() {
			gcpace.Run(ctx, gcpace.Options{NormalPercent: calmGarbage, BusyPercent: busyGarbage, BusyRate: busyRate, Count: r.Requests})
		})
		return servePlatform(ctx, s, r, *metrics, logger)
	}
}

func newDirect(s platform.Settings, logger, summaries *event.Logger) *direct.Router {
	store := platform.NewStore(s.Store.String())
	var seeds []netip.Addr
	for _, a := range s.Seeds {
		seeds = append(seeds, a.Addr())
	}
	return direct.New(direct.Options{
		Name: s.Name, Place: s.Place, Incarnation: incarnation.New(),
		Address: netip.AddrPortFrom(s.Callers.Addr(), s.PeerPort), Seeds: seeds,
		Clock: wallclock.New(), Dialect: platform.Dialect{}, Decode: platform.DecodeConfiguration,
		Configurations: platform.NewConfigurations(store),
		Servers: platform.NewServers(store, func(key string, offset int64, err error) {
			logger.Log(event.PlatformRecordBad, "record", key, "offset", offset, "error", err)
		}),
		Retry: retrycap.Options{
			Window: s.RetryWindow, Ratio: retryCaution * s.RetryRatio, Burst: s.RetryBurst,
		},
		Grace: s.Grace, Capacity: s.Capacity, Logger: logger, Summaries: summaries,
		MaxBufferedBytes: int64(heldPart * float64(s.MemoryBytes)),
	})
}

// servePlatform serves callers, the balancer's look and metrics while r runs.
func servePlatform(
	ctx context.Context, s platform.Settings, r *direct.Router, metricsPort uint16, logger *event.Logger,
) error {
	ready := mux.NewRouter()
	ready.HandleFunc("/readyz", func(w http.ResponseWriter, _ *http.Request) {
		if !r.Ready() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
	metrics := mux.NewRouter()
	metrics.Handle("/metrics", r.Metrics())
	// Accepted connections have the listener's options, which saves calls for each.
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
	soft := min(int(softConns*float64(s.MaxFiles)), int(connPart*float64(s.MemoryBytes)/connBytes))
	return httpserve.Serve(ctx, r.Run,
		httpserve.Listener{
			Net: callers, Handler: r.Handler(), CloseTimeout: closeTimeout, IdleTimeout: idleTimeout, Limits: r.Limits,
			MaxHeaderBytes: headerBytes, MaxKeepAliveConns: soft, MaxConns: int(maxConns * float64(soft)),
			Saturated: r.Saturated, Busy: r.Busy, Reopen: reopen,
			ConnsPerSecond: float64(s.Capacity) / connTime, ShedStarted: r.ShedStarted, ShedEnded: r.ShedEnded,
		},
		httpserve.Listener{Address: s.Ready.String(), Handler: ready, CloseTimeout: closeTimeout},
		httpserve.Listener{
			Address: net.JoinHostPort(s.Callers.Addr().String(), strconv.Itoa(int(metricsPort))), Handler: metrics,
			CloseTimeout: closeTimeout,
		},
	)
}

// reloadOnHangup reads the settings again at each SIGHUP, to tell the operator whether they can be used.
func reloadOnHangup(ctx context.Context, hangup <-chan os.Signal, logger *event.Logger, file string) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-hangup:
			began := time.Now()
			if _, err := platform.ReadSettings(file); err != nil {
				logger.Log(event.SettingsRejected, "error", err)
				continue
			}
			logger.Log(event.SettingsReloaded, "took_ms", time.Since(began).Milliseconds())
		}
	}
}
