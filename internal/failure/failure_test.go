package failure_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"testing"
	"time"

	"github.com/laburnumring/laburnumring/internal/fleet"
	"github.com/laburnumring/laburnumring/internal/standin/control"
	"github.com/laburnumring/laburnumring/internal/standin/load"
)

// bin holds the programs under test.
var bin string

func TestMain(m *testing.M) {
	os.Exit(run(m))
}

// run builds the programs once for all tests.
func run(m *testing.M) int {
	dir, err := os.MkdirTemp("", "laburnumring")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer func() { _ = os.RemoveAll(dir) }()
	bin = dir
	build := exec.Command("go", "build", "-o", dir+"/", "./cmd/laburnumring", "./cmd/standins")
	build.Dir = "../.."
	if out, err := build.CombinedOutput(); err != nil {
		fmt.Fprintf(os.Stderr, "build: %v\n%s", err, out)
		return 1
	}
	return m.Run()
}

const (
	requests    = 400
	concurrency = 16
)

// start starts two routers before three model engines and two plain servers.
func start(t *testing.T) *fleet.Fleet {
	t.Helper()
	f, err := fleet.Start(t.Context(), fleet.Options{
		Bin: bin, Dir: t.TempDir(), Teams: 4, Models: 3, Plains: 2, Routers: 2, StepMs: 5, PlainDuration: 40 * time.Millisecond,
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(f.Stop)
	return f
}

// options returns a load on all routers of f.
func options(f *fleet.Fleet) load.Options {
	o := load.Options{
		Routers:      f.Routers(),
		ModelService: fleet.ModelService,
		PlainService: fleet.PlainService,
		Requests:     requests,
		Concurrency:  concurrency,
		MaxTokens:    40,
		Seed:         1,
		DeadlineMs:   10_000,
	}
	for i := range 4 {
		o.Teams = append(o.Teams, fmt.Sprintf("team-%d", i+1))
	}
	for _, s := range f.Site().ServersOf(fleet.PlainService) {
		o.PlainServers = append(o.PlainServers, s.Address())
	}
	return o
}

// drive sends a load while faults happen and checks what must hold whatever fails.
func drive(t *testing.T, f *fleet.Fleet, faults func()) load.Summary {
	t.Helper()
	type result struct {
		s   load.Summary
		err error
	}
	done := make(chan result, 1)
	go func() {
		s, err := load.New(options(f)).Run(context.WithoutCancel(t.Context()))
		done <- result{s, err}
	}()
	faults()
	r := <-done
	if r.err != nil {
		t.Fatal(r.err)
	}
	data, _ := json.Marshal(r.s)
	t.Logf("%s", data)
	if r.s.WrongAnswers != 0 || r.s.RanTwice != 0 || r.s.RanAfterNotRun != 0 {
		t.Errorf("broken promise: %s", data)
	}
	if r.s.Whole == 0 {
		t.Errorf("no answer was whole: %s", data)
	}
	return r.s
}

func must(t *testing.T, err error) {
	t.Helper()
	if err != nil {
		t.Fatal(err)
	}
}

const pause = 500 * time.Millisecond

func TestAgentsKilledAndRestarted(t *testing.T) {
	f := start(t)
	drive(t, f, func() {
		for _, name := range []string{"model-pool-1-agent", "booking-app-1-agent"} {
			time.Sleep(pause)
			f.Process(name).Kill()
			time.Sleep(pause)
			must(t, f.Process(name).Restart())
		}
	})
}

func TestRouterKilledAndRestarted(t *testing.T) {
	f := start(t)
	drive(t, f, func() {
		time.Sleep(pause)
		f.Process("router-1").Kill()
		time.Sleep(pause)
		must(t, f.Process("router-1").Restart())
	})
}

func TestAgentsFrozenAndResumed(t *testing.T) {
	f := start(t)
	drive(t, f, func() {
		for _, name := range []string{"model-pool-1-agent", "booking-app-1-agent"} {
			time.Sleep(pause)
			must(t, f.Process(name).Pause())
		}
		time.Sleep(4 * time.Second)
		for _, name := range []string{"model-pool-1-agent", "booking-app-1-agent"} {
			must(t, f.Process(name).Resume())
		}
	})
}

func TestRouterFrozenAndResumed(t *testing.T) {
	f := start(t)
	drive(t, f, func() {
		time.Sleep(pause)
		must(t, f.Process("router-1").Pause())
		time.Sleep(4 * time.Second)
		must(t, f.Process("router-1").Resume())
	})
}

func TestEngineKilledWhileItStreams(t *testing.T) {
	f := start(t)
	drive(t, f, func() {
		time.Sleep(pause)
		f.Process("model-pool-2").Kill()
		time.Sleep(pause)
		must(t, f.Process("model-pool-2").Restart())
	})
}

func TestPlatformOutageAndLostReplies(t *testing.T) {
	f := start(t)
	drive(t, f, func() {
		setFaults(t, f.Platform(), control.Faults{LoseReplies: 5})
		time.Sleep(pause)
		setFaults(t, f.Platform(), control.Faults{Down: true})
		time.Sleep(2 * pause)
		setFaults(t, f.Platform(), control.Faults{LoseReplies: 5})
	})
}

// TestAgentShutdownCutsOffNothing stops agents one by one; every request that was not refused as not run, or
// because its key was claimed already, must come to its end whole.
func TestAgentShutdownCutsOffNothing(t *testing.T) {
	f := start(t)
	s := drive(t, f, func() {
		for _, name := range []string{"model-pool-1-agent", "booking-app-1-agent"} {
			time.Sleep(pause)
			if !f.Process(name).Terminate(20 * time.Second) {
				t.Errorf("%s did not shut down", name)
			}
			must(t, f.Process(name).Restart())
		}
	})
	if s.Unknown != s.KeyClaimed || s.Failed != 0 {
		t.Errorf("requests were cut off: %+v", s)
	}
}

// TestRouterShutdownCutsOffNothing stops a router whose callers wait.
func TestRouterShutdownCutsOffNothing(t *testing.T) {
	f := start(t)
	o := options(f)
	o.Routers = o.Routers[:1]
	o.Requests = concurrency
	o.MaxTokens = 200
	l := load.New(o)
	done := make(chan load.Summary, 1)
	go func() {
		s, _ := l.Run(context.WithoutCancel(t.Context()))
		done <- s
	}()
	for l.Sent() < int64(o.Requests) {
		time.Sleep(time.Millisecond)
	}
	time.Sleep(pause / 5)
	if !f.Process("router-1").Terminate(20 * time.Second) {
		t.Error("the router did not shut down")
	}
	s := <-done
	if s.Whole != o.Requests {
		t.Errorf("of %d requests in progress %d were whole: %+v", o.Requests, s.Whole, s)
	}
}

func setFaults(t *testing.T, address string, faults control.Faults) {
	t.Helper()
	data, err := json.Marshal(faults)
	must(t, err)
	resp, err := http.Post("http://"+address+"/control", "application/json", bytes.NewReader(data))
	must(t, err)
	must(t, resp.Body.Close())
	if resp.StatusCode != http.StatusOK {
		t.Fatalf("control at %s answered %d", address, resp.StatusCode)
	}
}
