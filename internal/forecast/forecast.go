// Package forecast predicts an engine's time to the first token of a request from the prompt tokens that it has to read
// before.
package forecast

import "github.com/laburnumring/laburnumring/pkg/clock"

// Forecast fits a line to the times observed at a service's engines, and a factor for each server. It is not safe for
// concurrent use.
type Forecast struct {
	// Sums over the observations, which decay with each later one.
	n, x, y, xx, xy float64
	// slowness holds the exponentially decayed ratio of observed to predicted times by server.
	slowness map[string]float64
}

// The line before any observation: engines of the present size read about 80 prompt tokens per millisecond between
// their steps, and produce the first token 90 ms later.
const (
	priorBase  = 90.0
	priorSlope = 1.0 / 80
	priorX     = 4000.0
	// priorWeight is the number of observations that the prior counts for.
	priorWeight = 20.0
)

// Weights, and limits that keep single outliers from distorting the forecast.
const (
	decay          = 0.998
	maxRatio       = 2.0
	minSlope       = 1.0 / 1000
	slownessWeight = 0.15
	minSlowness    = 0.5
	maxSlowness    = 8.0
)

// New returns a forecast without observations.
func New() *Forecast {
	f := &Forecast{slowness: make(map[string]float64)}
	for _, x := range []float64{0, 2 * priorX} {
		f.add(x, priorBase+priorSlope*x, priorWeight/2)
	}
	return f
}

// Predict returns the predicted milliseconds until the first token at a server that has to read the given number of
// tokens.
func (f *Forecast) Predict(server string, tokens int64) float64 {
	return f.line(float64(tokens)) * f.factor(server)
}

// ReadMs returns the predicted milliseconds in which a server reads the given number of tokens.
func (f *Forecast) ReadMs(server string, tokens int64) float64 {
	return f.Slope() * float64(tokens) * f.factor(server)
}

// Slope returns the milliseconds that one prompt token adds.
func (f *Forecast) Slope() float64 {
	_, b := f.fit()
	return b
}

// Observe records the time until the first token at a server that had to read the given number of tokens before.
func (f *Forecast) Observe(server string, tokens int64, took clock.Millis) {
	expected := f.line(float64(tokens))
	ratio := min(float64(took)/expected, maxSlowness)
	f.slowness[server] = min(maxSlowness, max(minSlowness,
		(1-slownessWeight)*f.factor(server)+slownessWeight*ratio))
	f.add(float64(tokens), min(float64(took), maxRatio*expected), 1)
}

// Forget drops the observations specific to one server.
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

// fit returns the base and the slope of the line, in milliseconds and milliseconds per token.
func (f *Forecast) fit() (base, slope float64) {
	spread := f.n*f.xx - f.x*f.x
	if spread <= 0 {
		return priorBase, priorSlope
	}
	slope = max(minSlope, (f.n*f.xy-f.x*f.y)/spread)
	return max(1, (f.y-slope*f.x)/f.n), slope
}
