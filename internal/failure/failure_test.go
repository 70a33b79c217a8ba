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

// bin is the directory of the programs under test.
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

// startFleet starts two routers, three model engines and two plain servers with their agents.
func startFleet(t *testing.T) *fleet.Fleet {
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

// loadOptions returns the options of a load that uses all routers of f.
func loadOptions(f *fleet.Fleet) load.Options {
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

// runLoad sends a load while faults runs. It checks that no answer was wrong, no request ran twice or after it was
// reported as not run, and at least one answer was complete.
func runLoad(t *testing.T, f *fleet.Fleet, faults func()) load.Summary {
	t.Helper()
	type result struct {
		s   load.Summary
		err error
	}
	done := make(chan result, 1)
	go func() {
		s, err := load.New(loadOptions(f)).Run(context.WithoutCancel(t.Context()))
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
		t.Errorf("wrong answers, or requests that ran twice or after a not_run outcome: %s", data)
	}
	if r.s.Whole == 0 {
		t.Errorf("no answer was complete: %s", data)
	}
	return r.s
}

func must(t *testing.T, err error) {
	t.Helper()
	if err != nil {
		t.Fatal(err)
	}
}

const faultInterval = 500 * time.Millisecond

func TestAgentsKilledAndRestarted(t *testing.T) {
	f := startFleet(t)
	runLoad(t, f, func() {
		for _, name := range []string{"model-pool-1-agent", "booking-app-1-agent"} {
			time.Sleep(faultInterval)
			f.Process(name).Kill()
			time.Sleep(faultInterval)
			must(t, f.Process(name).Restart())
		}
	})
}

func TestRouterKilledAndRestarted(t *testing.T) {
	f := startFleet(t)
	runLoad(t, f, func() {
		time.Sleep(faultInterval)
		f.Process("router-1").Kill()
		time.Sleep(faultInterval)
		must(t, f.Process("router-1").Restart())
	})
}

func TestAgentsFrozenAndResumed(t *testing.T) {
	f := startFleet(t)
	runLoad(t, f, func() {
		for _, name := range []string{"model-pool-1-agent", "booking-app-1-agent"} {
			time.Sleep(faultInterval)
			must(t, f.Process(name).Pause())
		}
		time.Sleep(4 * time.Second)
		for _, name := range []string{"model-pool-1-agent", "booking-app-1-agent"} {
			must(t, f.Process(name).Resume())
		}
	})
}

func TestRouterFrozenAndResumed(t *testing.T) {
	f := startFleet(t)
	runLoad(t, f, func() {
		time.Sleep(faultInterval)
		must(t, f.Process("router-1").Pause())
		time.Sleep(4 * time.Second)
		must(t, f.Process("router-1").Resume())
	})
}

func TestEngineKilledWhileStreaming(t *testing.T) {
	f := startFleet(t)
	runLoad(t, f, func() {
		time.Sleep(faultInterval)
		f.Process("model-pool-2").Kill()
		time.Sleep(faultInterval)
		must(t, f.Process("model-pool-2").Restart())
	})
}

func TestPlatformOutageAndLostReplies(t *testing.T) {
	f := startFleet(t)
	runLoad(t, f, func() {
		setFaults(t, f.Platform(), control.Faults{LoseReplies: 5})
		time.Sleep(faultInterval)
		setFaults(t, f.Platform(), control.Faults{Down: true})
		time.Sleep(2 * faultInterval)
		setFaults(t, f.Platform(), control.Faults{LoseReplies: 5})
	})
}

// TestAgentShutdownCompletesRequests shuts down agents one after the other. Each request must get a complete answer
// unless it was refused as not run or because its idempotency key was already claimed.
func TestAgentShutdownCompletesRequests(t *testing.T) {
	f := startFleet(t)
	s := runLoad(t, f, func() {
		for _, name := range []string{"model-pool-1-agent", "booking-app-1-agent"} {
			time.Sleep(faultInterval)
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

// TestRouterShutdownCompletesRequests shuts down a router with requests in progress. All of them must get a complete
// answer.
func TestRouterShutdownCompletesRequests(t *testing.T) {
	f := startFleet(t)
	o := loadOptions(f)
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
	time.Sleep(faultInterval / 5)
	if !f.Process("router-1").Terminate(20 * time.Second) {
		t.Error("the router did not shut down")
	}
	s := <-done
	if s.Whole != o.Requests {
		t.Errorf("of %d requests in progress %d got a complete answer: %+v", o.Requests, s.Whole, s)
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
