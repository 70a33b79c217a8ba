package experiment

import (
	"fmt"

	"github.com/laburnumring/laburnumring/pkg/clock"
)

// service is the name of the played service.
const service = "engines"

func engineName(i int) string { return fmt.Sprintf("e%02d", i) }

// Policy decides on the requests of all routers.
type Policy interface {
	// arrive takes a new request.
	arrive(f *flight)
	// poll is called at each interval.
	poll()
	// started and ended tell of a request's first and last token.
	started(f *flight)
	ended(f *flight)
}

// Policies returns the names of the policies, the product's own first.
func Policies() []string { return []string{"intake", "least_reported", "round_robin"} }

func newPolicy(name string, w *world) (Policy, error) {
	switch name {
	case "intake":
		return newIntakePolicy(w), nil
	case "least_reported":
		return &reportPolicy{w: w}, nil
	case "round_robin":
		return &roundRobin{w: w}, nil
	}
	return nil, fmt.Errorf("policy %q is not known; known are %v", name, Policies())
}

// roundRobin sends each request to the next engine.
type roundRobin struct {
	w    *world
	next int
}

func (p *roundRobin) arrive(f *flight) {
	p.next = (p.next + 1) % len(p.w.engines)
	p.w.send(f, p.next)
}
func (*roundRobin) poll()           {}
func (*roundRobin) started(*flight) {}
func (*roundRobin) ended(*flight)   {}

// reportLag is how old an engine's report of its load is.
const reportLag = 200 * clock.Millis(1)

// reportPolicy sends each request to the engine with the least load by its last report.
type reportPolicy struct {
	w        *world
	reported []int
	at       clock.Millis
}

func (p *reportPolicy) arrive(f *flight) {
	best := 0
	for i := range p.reported {
		if p.reported[i] < p.reported[best] {
			best = i
		}
	}
	p.w.send(f, best)
}

func (p *reportPolicy) poll() {
	if p.reported != nil && p.w.now-p.at < reportLag {
		return
	}
	p.at = p.w.now
	p.reported = make([]int, len(p.w.engines))
	for i, e := range p.w.engines {
		running, waiting := e.Load()
		p.reported[i] = running + waiting
	}
}
func (*reportPolicy) started(*flight) {}
func (*reportPolicy) ended(*flight)   {}
