// Package placement chooses the agents with which a router leaves a request's tickets.
package placement

import (
	"cmp"
	"math/rand/v2"
	"slices"

	"github.com/laburnumring/laburnumring"
)

// Sample chooses a few agents: those with the least load for their slots among a random sample. Agents with
// idle slots come into the sample first.
type Sample struct {
	rng *rand.Rand
	// tickets is how many agents are chosen; at least 1.
	tickets int
}

var _ laburnumring.Placement = (*Sample)(nil)

// NewSample returns a placement that leaves up to tickets tickets.
func NewSample(rng *rand.Rand, tickets int) *Sample {
	return &Sample{rng: rng, tickets: max(1, tickets)}
}

// Choose implements laburnumring.Placement.
func (s *Sample) Choose(targets []laburnumring.Target) []string {
	pool := slices.Clone(targets)
	s.rng.Shuffle(len(pool), func(i, j int) { pool[i], pool[j] = pool[j], pool[i] })
	slices.SortStableFunc(pool, func(a, b laburnumring.Target) int { return cmp.Compare(full(a), full(b)) })
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

// full is 1 for an agent without idle slots and 0 for one with.
func full(t laburnumring.Target) int {
	if t.Load >= t.Slots {
		return 1
	}
	return 0
}
