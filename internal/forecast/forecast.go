// Package forecast predicts how long an engine takes to a request's first token from the prompt tokens that it has
// to read before.
package forecast

import "github.com/laburnumring/laburnumring/pkg/clock"

// Forecast fits a line through the observed times of a service's engines, with a factor for each server. It is
// used by one goroutine at a time.
type Forecast struct {
	// Sums over the observations, each weighted less with every later one.
	n, x, y, xx, xy float64
	// slowness holds the servers' ratio of observed to predicted times.
	slowness map[string]float64
}

// The line before any observation: engines of today's size read about 80 prompt tokens in a millisecond between
// their steps, and give the first tokens 90 ms after that.
const (
	priorBase  = 90.0
	priorSlope = 1.0 / 80
	priorX     = 4000.0
	// priorWeight is how many observations the prior counts for.
	priorWeight = 20.0
)

// Bounds that keep single faults from spoiling the forecast.
const (
	decay          = 0.998
	maxRatio       = 2.0
	minSlope       = 1.0 / 1000
	slownessWeight = 0.15
	minSlowness    = 0.5
	maxSlowness    = 8.0
)

// New returns a forecast that knows the prior alone.
func New() *Forecast {
	f := &Forecast{slowness: make(map[string]float64)}
	for _, x := range []float64{0, 2 * priorX} {
		f.add(x, priorBase+priorSlope*x, priorWeight/2)
	}
	return f
}

// Predict returns the milliseconds until the first token at server, with the given tokens to read.
func (f *Forecast) Predict(server string, tokens int64) float64 {
	return f.line(float64(tokens)) * f.factor(server)
}

// Slope returns the milliseconds that one prompt token adds.
func (f *Forecast) Slope() float64 {
	_, b := f.fit()
	return b
}

// Observe tells how long it took until the first token at server, with the given tokens to read before it.
func (f *Forecast) Observe(server string, tokens int64, took clock.Millis) {
	expected := f.line(float64(tokens))
	ratio := min(float64(took)/expected, maxSlowness)
	f.slowness[server] = min(maxSlowness, max(minSlowness,
		(1-slownessWeight)*f.factor(server)+slownessWeight*ratio))
	f.add(float64(tokens), min(float64(took), maxRatio*expected), 1)
}

// Forget drops what is known of a server alone.
func (f *Forecast) Forget(server string) { delete(f.slowness, server) }

func (f *Forecast) factor(server string) float64 {
	if v, ok := f.slowness[server]; ok {
		return v
	}
	return 1
}

func (f *Forecast) line(x float64) float64 {
	a, b := f.fit()
	return a + b*x
}

func (f *Forecast) add(x, y, weight float64) {
	f.n = decay*f.n + weight
	f.x = decay*f.x + weight*x
	f.y = decay*f.y + weight*y
	f.xx = decay*f.xx + weight*x*x
	f.xy = decay*f.xy + weight*x*y
}

// fit returns the base and the slope of the line.
func (f *Forecast) fit() (base, slope float64) {
	spread := f.n*f.xx - f.x*f.x
	if spread <= 0 {
		return priorBase, priorSlope
	}
	slope = max(minSlope, (f.n*f.xy-f.x*f.y)/spread)
	return max(1, (f.y-slope*f.x)/f.n), slope
}
