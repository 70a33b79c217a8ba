package admission_test

import (
	"fmt"
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"

	"github.com/laburnumring/laburnumring/internal/admission"
	"github.com/laburnumring/laburnumring/pkg/clock"
)

// server is a model engine whose step grows with all that runs in it, seen or not.
type server struct {
	limit *admission.Limit
	now   clock.Millis
	// unseen is what others run there; base and each give the step in milliseconds.
	unseen, base, each int
	// demand is how many of the agent's requests want to run.
	demand int
	units  map[string]float64
}

const testTick = 20

// run lets time pass and returns the course of the limit.
func (s *server) run(ms int) string {
	var out []string
	for i := 0; i < ms; i += testTick {
		s.now += testTick
		running := min(s.demand, s.limit.Current())
		step := float64(s.base + s.each*(running+s.unseen))
		for n := range running {
			id := fmt.Sprint(n)
			s.units[id] += testTick / step
			s.limit.Progress(s.now, id, int64(s.units[id]))
		}
		for n := running; n < 64; n++ {
			s.limit.Ended(fmt.Sprint(n))
		}
		s.limit.Adapt(s.now, running)
		if i%500 == 0 {
			out = append(out, fmt.Sprint(s.limit.Current()))
		}
	}
	return strings.Join(out, " ") + "\n"
}

// TestLimit runs the script in testdata/limit.txt.
func TestLimit(t *testing.T) {
	var s *server
	datadriven.RunTest(t, "testdata/limit.txt", func(t *testing.T, d *datadriven.TestData) string {
		switch d.Cmd {
		case "server":
			var slots, target int
			s = &server{units: make(map[string]float64)}
			d.ScanArgs(t, "slots", &slots)
			d.ScanArgs(t, "target", &target)
			d.ScanArgs(t, "base", &s.base)
			d.ScanArgs(t, "each", &s.each)
			s.limit = admission.NewLimit(admission.LimitOptions{Slots: slots, Target: clock.Millis(target)})
			return ""
		case "run":
			var ms int
			d.ScanArgs(t, "ms", &ms)
			d.ScanArgs(t, "unseen", &s.unseen)
			d.ScanArgs(t, "demand", &s.demand)
			return s.run(ms)
		}
		t.Fatalf("unknown command %s", d.Cmd)
		return ""
	})
}
