package admission_test

import (
	"fmt"
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"

	"github.com/laburnumring/laburnumring/internal/admission"
	"github.com/laburnumring/laburnumring/pkg/clock"
)

// simulatedEngine is a model engine whose step time grows with the number of requests in it, including those of other
// systems.
type simulatedEngine struct {
	limit *admission.Limit
	now   clock.Millis
	// otherLoad is the number of requests of other systems. A step takes base milliseconds, and perRequest more for
	// each request.
	otherLoad, base, perRequest int
	// demand is the number of the agent's requests that are ready to run.
	demand int
	units  map[string]float64
}

const tickMs = 20

// run advances the time by ms and returns the limit at intervals of 500 ms.
func (e *simulatedEngine) run(ms int) string {
	var out []string
	for i := 0; i < ms; i += tickMs {
		e.now += tickMs
		running := min(e.demand, e.limit.Current())
		step := float64(e.base + e.perRequest*(running+e.otherLoad))
		for n := range running {
			id := fmt.Sprint(n)
			e.units[id] += tickMs / step
			e.limit.Progress(e.now, id, int64(e.units[id]))
		}
		for n := running; n < 64; n++ {
			e.limit.Ended(fmt.Sprint(n))
		}
		e.limit.Adapt(e.now, running)
		if i%500 == 0 {
			out = append(out, fmt.Sprint(e.limit.Current()))
		}
	}
	return strings.Join(out, " ") + "\n"
}

// TestLimitScript runs the script in testdata/limit.txt.
func TestLimitScript(t *testing.T) {
	var e *simulatedEngine
	datadriven.RunTest(t, "testdata/limit.txt", func(t *testing.T, d *datadriven.TestData) string {
		switch d.Cmd {
		case "server":
			var slots, target int
			e = &simulatedEngine{units: make(map[string]float64)}
			d.ScanArgs(t, "slots", &slots)
			d.ScanArgs(t, "target", &target)
			d.ScanArgs(t, "base", &e.base)
			d.ScanArgs(t, "each", &e.perRequest)
			e.limit = admission.NewLimit(admission.LimitOptions{Slots: slots, Target: clock.Millis(target)})
			return ""
		case "run":
			var ms int
			d.ScanArgs(t, "ms", &ms)
			d.ScanArgs(t, "unseen", &e.otherLoad)
			d.ScanArgs(t, "demand", &e.demand)
			return e.run(ms)
		}
		t.Fatalf("unknown command %s", d.Cmd)
		return ""
	})
}
