// Package forecast predicts an engine's time to the first token of a request from the prompt tokens that it has to read
// before.
package forecast

import (
	"math"

	"github.com/laburnumring/laburnumring/internal/linefit"
	"github.com/laburnumring/laburnumring/pkg/clock"
)

// Forecast fits a line to the times observed at a service's engines, and a factor for each server. It is not safe for
// concurrent use.
type Forecast struct {
	// fitted holds the observations, which decay with each later one.
	fitted linefit.Line
	// slowness holds the ratio of observed to predicted times by server.
	slowness map[string]ratio
}

// ratio is an exponentially decayed ratio as of its last observation.
type ratio struct {
	value float64
	at    clock.Millis
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
	// slownessTTL is how long after the last observation a server's ratio holds.
	slownessTTL = 5 * clock.Second
)

// New returns a forecast without observations.
func New() *Forecast {
	f := &Forecast{slowness: make(map[string]ratio)}
	for _, x := range []float64{0, 2 * priorX} {
		f.add(x, priorBase+priorSlope*x, priorWeight/2)
	}
	return f
}

// Predict returns the predicted milliseconds until the first token at a server that has to read the given number of
// tokens. slowness above 1 is how many times as long as at a typical server its work is known to take otherwise.
func (f *Forecast) Predict(now clock.Millis, server string, slowness float64, tokens int64) float64 {
	factor := f.factor(now, server)
	if slowness > 1 {
		factor = max(factor, slowness)
	}
	return f.line(float64(tokens)) * factor
}

// Typical returns the predicted milliseconds at a typical server.
func (f *Forecast) Typical(tokens int64) float64 { return f.line(float64(tokens)) }

// Slope returns the milliseconds that one prompt token adds.
func (f *Forecast) Slope() float64 {
	_, b := f.fit()
	return b
}

// Observe records the time until the first token at a server that had to read the given number of tokens before.
func (f *Forecast) Observe(now clock.Millis, server string, tokens int64, took clock.Millis) {
	expected := f.line(float64(tokens))
	observed := min(float64(took)/expected, maxSlowness)
	f.slowness[server] = ratio{at: now, value: min(maxSlowness, max(minSlowness,
		(1-slownessWeight)*f.factor(now, server)+slownessWeight*observed))}
	f.add(float64(tokens), min(float64(took), maxRatio*expected), 1)
}

// Forget drops the observations specific to one server.
func (f *Forecast) Forget(server string) { delete(f.slowness, server) }

// factor returns the ratio of a server. It is forgotten while there are no observations, so that a server which was slow
// gets work again.
func (f *Forecast) factor(now clock.Millis, server string) float64 {
	v, ok := f.slowness[server]
	if !ok {
		return 1
	}
	if age := now - v.at; age > slownessTTL {
		return 1 + (v.value-1)*math.Exp(-float64(age-slownessTTL)/float64(slownessTTL))
	}
	return v.value
}

func (f *Forecast) line(x float64) float64 {
	a, b := f.fit()
	return a + b*x
}

func (f *Forecast) add(x, y, weight float64) { f.fitted.Add(x, y, weight, decay) }

// fit returns the base and the slope of the line, in milliseconds and milliseconds per token.
func (f *Forecast) fit() (base, slope float64) {
	slope, ok := f.fitted.Slope(0)
	if !ok {
		return priorBase, priorSlope
	}
	slope = max(minSlope, slope)
	return max(1, f.fitted.Base(slope)), slope
}
