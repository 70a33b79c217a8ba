package agent_test

import (
	"context"
	"net/http"
	"os/exec"
	"strings"
	"testing"
	"time"

	"github.com/laburnumring/laburnumring/internal/fleet"
	"github.com/laburnumring/laburnumring/internal/standin/load"
)

// faultPeriod is the time between two faults, and how long a process stays suspended.
const faultPeriod = 300 * time.Millisecond

// TestBookingsThroughProcesses sends bookings, many of them twice, through real processes that are killed or
// suspended meanwhile. It compares what the servers ran with the answers that the callers got.
func TestBookingsThroughProcesses(t *testing.T) {
	bin := t.TempDir()
	if out, err := exec.Command("go", "build", "-o", bin, "../../cmd/...").CombinedOutput(); err != nil {
		t.Fatalf("%v: %s", err, out)
	}
	faults := map[string]func(t *testing.T, f *fleet.Fleet){
		"agents stopped and resumed": func(t *testing.T, f *fleet.Fleet) {
			stopAndResume(t, f.Process(fleet.PlainService+"-1-agent"))
			stopAndResume(t, f.Process(fleet.PlainService+"-2-agent"))
		},
		"agents killed": func(t *testing.T, f *fleet.Fleet) {
			restart(t, f.Process(fleet.PlainService+"-1-agent"))
			restart(t, f.Process(fleet.PlainService+"-2-agent"))
		},
		"router killed and log stopped": func(t *testing.T, f *fleet.Fleet) {
			restart(t, f.Process("router-1"))
			stopAndResume(t, f.Process("platform"))
		},
		"agent killed while replies are lost": func(t *testing.T, f *fleet.Fleet) {
			loseReplies(t, f.Platform())
			restart(t, f.Process(fleet.PlainService+"-1-agent"))
		},
	}
	for name, fault := range faults {
		t.Run(name, func(t *testing.T) {
			s := runLoadDuring(t, bin, fault)
			t.Logf("%+v", s)
			if s.RanTwice > 0 || s.RanAfterNotRun > 0 || s.WrongAnswers > 0 || s.Resent == 0 {
				t.Errorf("bookings ran twice, ran after not_run, got wrong answers or were never resent: %+v", s)
			}
		})
	}
}

// runLoadDuring sends a load through a new fleet while it repeats a fault.
func runLoadDuring(t *testing.T, bin string, fault func(*testing.T, *fleet.Fleet)) load.Summary {
	f, err := fleet.Start(t.Context(), fleet.Options{Bin: bin, Dir: t.TempDir(), Routers: 2, Plains: 2})
	if err != nil {
		t.Fatal(err)
	}
	defer f.Stop()
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() {
		defer close(done)
		for ctx.Err() == nil {
			fault(t, f)
		}
	}()
	servers := make([]string, 0, 2)
	for _, s := range f.Site().ServersOf(fleet.PlainService) {
		servers = append(servers, s.Address())
	}
	s, err := load.New(load.Options{
		Routers: f.Routers(), PlainService: fleet.PlainService, PlainServers: servers, Teams: []string{"team-1"},
		Requests: 400, Concurrency: 16, Seed: 1, DeadlineMs: 3000,
	}).Run(t.Context())
	cancel()
	<-done
	if err != nil {
		t.Fatal(err)
	}
	return s
}

func stopAndResume(t *testing.T, p *fleet.Process) {
	if err := p.Pause(); err != nil {
		t.Error(err)
	}
	time.Sleep(faultPeriod)
	if err := p.Resume(); err != nil {
		t.Error(err)
	}
	time.Sleep(faultPeriod)
}

func restart(t *testing.T, p *fleet.Process) {
	p.Kill()
	if err := p.Restart(); err != nil {
		t.Error(err)
	}
	time.Sleep(faultPeriod)
}

func loseReplies(t *testing.T, platform string) {
	resp, err := http.Post("http://"+platform+"/control", "application/json", strings.NewReader(`{"lose_replies":5}`))
	if err != nil {
		t.Error(err)
		return
	}
	_ = resp.Body.Close()
}
