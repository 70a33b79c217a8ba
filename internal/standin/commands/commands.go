// Package commands implements the command line of the stand-ins: the platform, model engine, plain service and load
// generator that run in place of the real systems around a fleet.
package commands

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/alecthomas/kingpin/v2"
	"github.com/gorilla/mux"
	"github.com/joomcode/errorx"

	"github.com/laburnumring/laburnumring/internal/httpserve"
	"github.com/laburnumring/laburnumring/internal/standin/control"
	"github.com/laburnumring/laburnumring/internal/standin/engine"
	"github.com/laburnumring/laburnumring/internal/standin/load"
	"github.com/laburnumring/laburnumring/internal/standin/plainservice"
	"github.com/laburnumring/laburnumring/internal/standin/platformlog"
	"github.com/laburnumring/laburnumring/internal/standin/vmlist"
)

// errCheckFailed is returned when the load generator found wrong answers, requests that ran twice, or requests that ran
// although they were reported not to have run.
var errCheckFailed = errors.New("found wrong answers, or requests that ran twice or although reported as not run")

// crashExitStatus is the exit status of an engine that crashed on a prompt with engine.CrashMark.
const crashExitStatus = 3

// Main runs the command line args and returns the exit status: 0, or 1 on an error.
func Main(args []string, stdout, stderr io.Writer) int {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	app := kingpin.New("standins", "Stand-ins for the systems around a laburnumring fleet.")
	app.UsageWriter(stderr)
	app.ErrorWriter(stderr)
	commands := map[string]func(context.Context) error{}
	for _, register := range []func(*kingpin.Application, io.Writer) (string, func(context.Context) error){
		registerPlatform, registerEngine, registerPlain, registerLoad,
	} {
		name, f := register(app, stdout)
		commands[name] = f
	}
	name, err := app.Parse(args)
	if err == nil {
		err = commands[name](ctx)
	}
	if err != nil {
		fmt.Fprintln(stderr, "standins:", err)
		return 1
	}
	return 0
}

// waitForShutdown returns when ctx is done. It is the main function of a stand-in that only serves HTTP.
func waitForShutdown(ctx context.Context) error {
	<-ctx.Done()
	return nil
}

// registerPlatform adds the platform command to app. Like the other register functions, it returns the command's name
// and the function that runs it.
func registerPlatform(app *kingpin.Application, _ io.Writer) (string, func(context.Context) error) {
	cmd := app.Command("platform", "Serve a stand-in for the platform's log and VM list.")
	listen := cmd.Flag("listen", "IP address and port.").Required().String()
	appends := cmd.Flag("appends-per-second", "Maximum number of appends per second.").Default("400").Int()
	retention := cmd.Flag("retention", "Retention time of records; unlimited when 0.").Default("0s").Duration()
	lag := cmd.Flag("vm-lag", "Delay before the VM list shows a change.").Default("2s").Duration()
	return cmd.FullCommand(), func(ctx context.Context) error {
		c := &control.Control{}
		l := platformlog.New(platformlog.Options{AppendsPerSecond: *appends, Retention: *retention, Control: c})
		m := mux.NewRouter()
		m.PathPrefix("/v1/vms").Handler(vmlist.New(*lag, c).Handler())
		m.PathPrefix("/").Handler(l.Handler())
		return httpserve.Run(ctx, *listen, m, waitForShutdown)
	}
}

func registerEngine(app *kingpin.Application, _ io.Writer) (string, func(context.Context) error) {
	cmd := app.Command("engine", "Serve a simulated model engine.")
	listen := cmd.Flag("listen", "IP address and port.").Required().String()
	step := cmd.Flag("step-ms", "Duration of a step with an empty batch.").Default("2").Float64()
	perRequest := cmd.Flag("per-request-ms", "Time that each running request adds to a step.").Default("0.1").Float64()
	fencing := cmd.Flag("checks-fencing", "Refuse orders with an outdated fencing number.").Bool()
	return cmd.FullCommand(), func(ctx context.Context) error {
		e := engine.New(engine.Options{
			StepMs: *step, PerRequestMs: *perRequest, ChecksFencing: *fencing, Crash: func() { os.Exit(crashExitStatus) },
		})
		return httpserve.Run(ctx, *listen, e.Handler(), waitForShutdown)
	}
}

func registerPlain(app *kingpin.Application, _ io.Writer) (string, func(context.Context) error) {
	cmd := app.Command("plain", "Serve a simulated plain service.")
	listen := cmd.Flag("listen", "IP address and port.").Required().String()
	duration := cmd.Flag("duration", "Processing time of a call.").Default("5ms").Duration()
	return cmd.FullCommand(), func(ctx context.Context) error {
		return httpserve.Run(ctx, *listen, plainservice.New(*duration, &control.Control{}).Handler(), waitForShutdown)
	}
}

func registerLoad(app *kingpin.Application, stdout io.Writer) (string, func(context.Context) error) {
	cmd := app.Command("load", "Send requests to routers and check every answer.")
	var opts load.Options
	cmd.Flag("router", "Address of a router; may be repeated.").Required().StringsVar(&opts.Routers)
	cmd.Flag("model-service", "Name of the model service to call.").StringVar(&opts.ModelService)
	cmd.Flag("plain-service", "Name of the plain service to call.").StringVar(&opts.PlainService)
	cmd.Flag("plain-server", "Address of a plain server to fetch runs from; may be repeated.").StringsVar(&opts.PlainServers)
	cmd.Flag("team", "Team to send requests as; may be repeated.").Required().StringsVar(&opts.Teams)
	cmd.Flag("token", "Bearer token of a team; repeated in the order of the teams.").StringsVar(&opts.Tokens)
	cmd.Flag("requests", "Number of requests to send.").Default("300").IntVar(&opts.Requests)
	cmd.Flag("concurrency", "Maximum number of requests in progress at once.").Default("16").IntVar(&opts.Concurrency)
	cmd.Flag("max-tokens", "Length of the longest answer to request, in tokens.").Default("40").IntVar(&opts.MaxTokens)
	cmd.Flag("seed", "Seed of the requests.").Default("1").Uint64Var(&opts.Seed)
	cmd.Flag("deadline-ms", "Deadline of each request, in milliseconds.").Default("20000").IntVar(&opts.DeadlineMs)
	wait := cmd.Flag("wait", "Maximum time to wait for the routers to become ready.").Default("10s").Duration()
	return cmd.FullCommand(), func(ctx context.Context) error {
		if err := awaitReady(ctx, opts.Routers, *wait); err != nil {
			return err
		}
		s, err := load.New(opts).Run(ctx)
		if err != nil {
			return err
		}
		if err := json.NewEncoder(stdout).Encode(s); err != nil {
			return err
		}
		if s.WrongAnswers > 0 || s.RanTwice > 0 || s.RanAfterNotRun > 0 {
			return errCheckFailed
		}
		return nil
	}
}

// readyPollInterval is the time between two checks of a router's readiness.
const readyPollInterval = 50 * time.Millisecond

// awaitReady waits until all routers are ready, and returns an error when that takes longer than limit.
func awaitReady(ctx context.Context, routers []string, limit time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	for _, address := range routers {
		for !isReady(ctx, address) {
			if ctx.Err() != nil {
				return errorx.Decorate(ctx.Err(), "router %s is not ready", address)
			}
			time.Sleep(readyPollInterval)
		}
	}
	return nil
}

func isReady(ctx context.Context, address string) bool {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/readyz", http.NoBody)
	if err != nil {
		return false
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}
