// Package commands is the command line of the stand-ins.
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

// errWrong reports a load with wrong answers or doubled runs.
var errWrong = errors.New("answers were wrong or requests ran twice")

// crashStatus is the exit status of an engine that crashed on a marked request.
const crashStatus = 3

// Main runs the command line and returns the exit status.
func Main(args []string, stdout, stderr io.Writer) int {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	app := kingpin.New("standins", "Stand-ins for the systems around a laburnumring fleet.")
	app.UsageWriter(stderr)
	app.ErrorWriter(stderr)
	run := map[string]func(context.Context) error{}
	for _, register := range []func(*kingpin.Application, io.Writer) (string, func(context.Context) error){
		registerPlatform, registerEngine, registerPlain, registerLoad,
	} {
		name, f := register(app, stdout)
		run[name] = f
	}
	name, err := app.Parse(args)
	if err == nil {
		err = run[name](ctx)
	}
	if err != nil {
		fmt.Fprintln(stderr, "standins:", err)
		return 1
	}
	return 0
}

// untilDone is the work of a stand-in that only serves.
func untilDone(ctx context.Context) error {
	<-ctx.Done()
	return nil
}

func registerPlatform(app *kingpin.Application, _ io.Writer) (string, func(context.Context) error) {
	cmd := app.Command("platform", "Serve the platform's log and VM list.")
	listen := cmd.Flag("listen", "IP address and port.").Required().String()
	appends := cmd.Flag("appends-per-second", "Most appends a second.").Default("400").Int()
	retention := cmd.Flag("retention", "How long records are kept; for ever when 0.").Default("0s").Duration()
	lag := cmd.Flag("vm-lag", "How late the VM list shows changes.").Default("2s").Duration()
	return cmd.FullCommand(), func(ctx context.Context) error {
		c := &control.Control{}
		l := platformlog.New(platformlog.Options{AppendsPerSecond: *appends, Retention: *retention, Control: c})
		m := mux.NewRouter()
		m.PathPrefix("/v1/vms").Handler(vmlist.New(*lag, c).Handler())
		m.PathPrefix("/").Handler(l.Handler())
		return httpserve.Run(ctx, *listen, m, untilDone)
	}
}

func registerEngine(app *kingpin.Application, _ io.Writer) (string, func(context.Context) error) {
	cmd := app.Command("engine", "Serve a model engine.")
	listen := cmd.Flag("listen", "IP address and port.").Required().String()
	step := cmd.Flag("step-ms", "Time of a step with an empty batch.").Default("2").Float64()
	each := cmd.Flag("per-request-ms", "Time that each running request adds to a step.").Default("0.1").Float64()
	fencing := cmd.Flag("checks-fencing", "Refuse orders with an old fencing number.").Bool()
	return cmd.FullCommand(), func(ctx context.Context) error {
		e := engine.New(engine.Options{
			StepMs: *step, PerRequestMs: *each, ChecksFencing: *fencing, Crash: func() { os.Exit(crashStatus) },
		})
		return httpserve.Run(ctx, *listen, e.Handler(), untilDone)
	}
}

func registerPlain(app *kingpin.Application, _ io.Writer) (string, func(context.Context) error) {
	cmd := app.Command("plain", "Serve a plain service.")
	listen := cmd.Flag("listen", "IP address and port.").Required().String()
	duration := cmd.Flag("duration", "How long a call takes.").Default("5ms").Duration()
	return cmd.FullCommand(), func(ctx context.Context) error {
		return httpserve.Run(ctx, *listen, plainservice.New(*duration, &control.Control{}).Handler(), untilDone)
	}
}

func registerLoad(app *kingpin.Application, stdout io.Writer) (string, func(context.Context) error) {
	cmd := app.Command("load", "Send requests to routers and check every answer.")
	var o load.Options
	cmd.Flag("router", "A router's address; may be repeated.").Required().StringsVar(&o.Routers)
	cmd.Flag("model-service", "The model service to call.").StringVar(&o.ModelService)
	cmd.Flag("plain-service", "The plain service to call.").StringVar(&o.PlainService)
	cmd.Flag("plain-server", "Address of a plain server to ask for its runs; may be repeated.").StringsVar(&o.PlainServers)
	cmd.Flag("team", "A team to call as; may be repeated.").Required().StringsVar(&o.Teams)
	cmd.Flag("token", "A team's bearer token; repeated in the order of the teams.").StringsVar(&o.Tokens)
	cmd.Flag("requests", "How many requests to send.").Default("300").IntVar(&o.Requests)
	cmd.Flag("concurrency", "How many requests to send at once.").Default("16").IntVar(&o.Concurrency)
	cmd.Flag("max-tokens", "Longest answer asked for.").Default("40").IntVar(&o.MaxTokens)
	cmd.Flag("seed", "Seed of the requests.").Default("1").Uint64Var(&o.Seed)
	cmd.Flag("deadline-ms", "Deadline of each request.").Default("20000").IntVar(&o.DeadlineMs)
	wait := cmd.Flag("wait", "How long to wait for the routers to be ready.").Default("10s").Duration()
	return cmd.FullCommand(), func(ctx context.Context) error {
		if err := awaitReady(ctx, o.Routers, *wait); err != nil {
			return err
		}
		s, err := load.New(o).Run(ctx)
		if err != nil {
			return err
		}
		if err := json.NewEncoder(stdout).Encode(s); err != nil {
			return err
		}
		if s.WrongAnswers > 0 || s.RanTwice > 0 || s.RanAfterNotRun > 0 {
			return errWrong
		}
		return nil
	}
}

// readyPause is the time between two looks at a router's readiness.
const readyPause = 50 * time.Millisecond

func awaitReady(ctx context.Context, routers []string, limit time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	for _, address := range routers {
		for !isReady(ctx, address) {
			if ctx.Err() != nil {
				return errorx.Decorate(ctx.Err(), "router %s is not ready", address)
			}
			time.Sleep(readyPause)
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
