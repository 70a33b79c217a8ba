// Package placement chooses the agents to which a router sends a request's tickets.
package placement

import (
	"cmp"
	"math/rand/v2"
	"slices"

	"github.com/laburnumring/laburnumring"
)

// Sample chooses the agents with the least load per slot from a random sample. Agents with idle slots enter the
// sample first.
type Sample struct {
	rng *rand.Rand
	// tickets is the number of agents to choose; at least 1.
	tickets int
}

var _ laburnumring.Placement = (*Sample)(nil)

// NewSample returns a placement that chooses up to tickets agents.
func NewSample(rng *rand.Rand, tickets int) *Sample {
	return &Sample{rng: rng, tickets: max(1, tickets)}
}

// Choose implements laburnumring.Placement.
func (s *Sample) Choose(targets []laburnumring.Target) []string {
	pool := slices.Clone(targets)
	s.rng.Shuffle(len(pool), func(i, j int) { pool[i], pool[j] = pool[j], pool[i] })
	slices.SortStableFunc(pool, func(a, b laburnumring.Target) int { return cmp.Compare(saturated(a), saturated(b)) })
	pool = pool[:min(len(pool), 2*s.tickets)]
	slices.SortStableFunc(pool, func(a, b laburnumring.Target) int {
		return cmp.Compare(a.Load*max(1, b.Slots), b.Load*max(1, a.Slots))
	})
	var out []string
	for _, t := range pool[:min(len(pool), s.tickets)] {
		out = append(out, t.Server)
	}
	return out
}

// saturated returns 1 for an agent without idle slots and 0 for any other.
func saturated(t laburnumring.Target) int {
	if t.Load >= t.Slots {
		return 1
	}
	return 0
}
