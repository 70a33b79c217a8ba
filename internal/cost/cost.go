// Package cost predicts what requests cost from callers' hints and what earlier ones cost.
package cost

import "math"

// Estimator learns, for each team, how far its hints can be trusted. It is used by one goroutine at a time.
type Estimator struct {
	teams map[string]*history
}

// history is what a team's recent requests show; all sums decay alike.
type history struct {
	// hints and costs are the decayed sums of hints and of true costs, and weight that of ones.
	hints  float64
	costs  float64
	weight float64
	// hintError and meanError are the decayed errors of the two ways to predict.
	hintError float64
	meanError float64
}

// decay is what a request's part in the sums keeps with each later one.
const decay = 0.9

// New returns an estimator that trusts all hints.
func New() *Estimator {
	return &Estimator{teams: make(map[string]*history)}
}

// Expect returns the expected cost, at least 1: the hint in proportion to what the team's hints were worth, or
// the team's mean cost, whichever was nearer lately.
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

// Learn tells what a request with the hint cost.
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
