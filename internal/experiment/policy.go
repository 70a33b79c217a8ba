package experiment

import (
	"fmt"

	"github.com/laburnumring/laburnumring/pkg/clock"
)

// service is the name of the simulated service.
const service = "engines"

// engineName returns the ID of engine i, which is also its address.
func engineName(i int) string { return fmt.Sprintf("e%02d", i) }

// Policy admits and places the requests of all routers.
type Policy interface {
	// arrive is called when a request reaches its router.
	arrive(f *simRequest)
	// poll is called once per overload.Interval.
	poll()
	// started is called at a request's first token in the engine, and ended at its last.
	started(f *simRequest)
	ended(f *simRequest)
}

// Policies returns the names of the policies: first the router's own, then the baselines.
func Policies() []string { return []string{"intake", "least_reported", "round_robin"} }

// newPolicy returns the named policy, or an error if the name is unknown.
func newPolicy(name string, w *simulation) (Policy, error) {
	switch name {
	case "intake":
		return newIntakePolicy(w), nil
	case "least_reported":
		return &leastReported{w: w}, nil
	case "round_robin":
		return &roundRobin{w: w}, nil
	}
	return nil, fmt.Errorf("unknown policy %q; the policies are %v", name, Policies())
}

// roundRobin sends each request to the next engine in turn.
type roundRobin struct {
	w    *simulation
	next int
}

func (p *roundRobin) arrive(f *simRequest) {
	p.next = (p.next + 1) % len(p.w.engines)
	p.w.send(f, p.next)
}
func (*roundRobin) poll()               {}
func (*roundRobin) started(*simRequest) {}
func (*roundRobin) ended(*simRequest)   {}

// reportInterval is the interval at which engines report their load to leastReported, and so the largest age of a
// report.
const reportInterval = 200 * clock.Millis(1)

// leastReported sends each request to the engine with the lowest load in the last reports.
type leastReported struct {
	w *simulation
	// loads holds the reported loads, running and waiting requests, by engine, and reportedAt the time of the reports.
	loads      []int
	reportedAt clock.Millis
}

func (p *leastReported) arrive(f *simRequest) {
	best := 0
	for i := range p.loads {
		if p.loads[i] < p.loads[best] {
			best = i
		}
	}
	p.w.send(f, best)
}

func (p *leastReported) poll() {
	if p.loads != nil && p.w.now-p.reportedAt < reportInterval {
		return
	}
	p.reportedAt = p.w.now
	p.loads = make([]int, len(p.w.engines))
	for i, e := range p.w.engines {
		running, waiting := e.Load()
		p.loads[i] = running + waiting
	}
}
func (*leastReported) started(*simRequest) {}
func (*leastReported) ended(*simRequest)   {}
