// Package worktime estimates how long servers work on requests, by route.
package worktime

import "github.com/laburnumring/laburnumring/pkg/clock"

const (
	// meanGain and deviationGain are the weights of a new sample, and deviations how many mean deviations an estimate lies
	// above the mean. Most samples are below it.
	meanGain      = 1.0 / 8
	deviationGain = 1.0 / 4
	deviations    = 2
	// maxRoutes limits the memory; routes beyond it have no estimate.
	maxRoutes = 16 << 10
)

// estimate is what is known of one route, in milliseconds.
type estimate struct{ mean, deviation float64 }

// Estimates holds the work times of routes. It must not be used concurrently.
type Estimates struct {
	routes map[string]estimate
}

// New returns estimates without any sample.
func New() *Estimates { return &Estimates{routes: make(map[string]estimate)} }

// Record records how long a server took from a request of the route to the end of its answer.
func (e *Estimates) Record(route string, took clock.Millis) {
	x := float64(took)
	r, ok := e.routes[route]
	if !ok {
		if len(e.routes) < maxRoutes {
			e.routes[route] = estimate{mean: x, deviation: x / 2}
		}
		return
	}
	r.deviation += deviationGain * (max(x-r.mean, r.mean-x) - r.deviation)
	r.mean += meanGain * (x - r.mean)
	e.routes[route] = r
}

// Estimate returns within which time most requests of the route end; 0 if nothing is known.
func (e *Estimates) Estimate(route string) clock.Millis {
	r := e.routes[route]
	return clock.Millis(r.mean + deviations*r.deviation)
}
