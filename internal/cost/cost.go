// Package cost predicts the cost of requests from callers' hints and the cost of earlier requests.
package cost

import "math"

// Estimator learns the accuracy of each team's hints. It is not safe for concurrent use.
type Estimator struct {
	teams map[string]*history
}

// history summarises a team's recent requests; all sums decay at the same rate.
type history struct {
	// hints and costs are the decayed sums of the hints and of the actual costs, weight is the decayed number of
	// requests.
	hints  float64
	costs  float64
	weight float64
	// hintError and meanError are the decayed sums of the absolute errors of the two predictions, by scaled hint and by
	// mean cost.
	hintError float64
	meanError float64
}

// decay is the factor by which each further request reduces the weight of the earlier ones.
const decay = 0.9

// New returns an estimator that trusts all hints.
func New() *Estimator {
	return &Estimator{teams: make(map[string]*history)}
}

// Expect returns the expected cost of a request, at least 1: either the hint scaled by the team's ratio of costs to
// hints, or the team's mean cost, whichever had the smaller error recently.
func (e *Estimator) Expect(team string, hint int64) int64 {
	h, ok := e.teams[team]
	if !ok {
		return max(1, hint)
	}
	v := h.scaled(hint)
	if h.meanError < h.hintError {
		v = h.mean()
	}
	return max(1, int64(math.Round(v)))
}

// Learn records the actual cost of a request with the given hint.
func (e *Estimator) Learn(team string, hint, cost int64) {
	h, ok := e.teams[team]
	if !ok {
		h = &history{}
		e.teams[team] = h
	}
	if h.weight > 0 {
		h.hintError = decay*h.hintError + math.Abs(h.scaled(hint)-float64(cost))
		h.meanError = decay*h.meanError + math.Abs(h.mean()-float64(cost))
	}
	h.hints = decay*h.hints + float64(max(1, hint))
	h.costs = decay*h.costs + float64(cost)
	h.weight = decay*h.weight + 1
}

func (h *history) scaled(hint int64) float64 { return float64(hint) * h.costs / h.hints }

func (h *history) mean() float64 { return h.costs / h.weight }
