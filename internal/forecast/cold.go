package forecast

import "github.com/laburnumring/laburnumring/pkg/clock"

// Cold estimates how much slower than predicted a service's servers are while they are cold. The estimate outlives the
// servers: the next one that starts is expected to be as slow before a request has paid for it. The zero value has no
// observations. It is not safe for concurrent use.
type Cold struct {
	// ratio is the exponentially decayed ratio of observed to predicted times, and n the number of observations.
	ratio float64
	n     int
}

const (
	// coldWeight is the weight of one observation; minColdWeightCount observations have an equal weight at first.
	coldWeight         = 0.05
	minColdWeightCount = 20
	maxColdRatio       = 8.0
)

// Observe records the time until the first event at a cold server, and what was predicted for a warm one, in
// milliseconds.
func (c *Cold) Observe(predicted float64, took clock.Millis) {
	if !(predicted > 0) {
		return
	}
	c.n = min(c.n+1, minColdWeightCount)
	c.ratio += max(coldWeight, 1/float64(c.n)) * (min(float64(took)/predicted, maxColdRatio) - c.ratio)
}

// Factor returns the factor by which predictions for a cold server are multiplied, at least 1; 1 before any observation.
func (c *Cold) Factor() float64 { return max(1, c.ratio) }
