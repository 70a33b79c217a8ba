package placement

import (
	"math/rand/v2"

	"github.com/laburnumring/laburnumring"
)

// RoundRobin pushes each request to the next agent in turn.
type RoundRobin struct {
	// turns counts the choices.
	turns int
}

var _ laburnumring.Placement = (*RoundRobin)(nil)

// NewRoundRobin returns a placement that begins at a random agent.
func NewRoundRobin(rng *rand.Rand) *RoundRobin {
	return &RoundRobin{turns: rng.IntN(1 << 16)}
}

// Choose implements laburnumring.Placement.
func (p *RoundRobin) Choose(targets []laburnumring.Target) []string {
	if len(targets) == 0 {
		return nil
	}
	p.turns++
	return []string{targets[p.turns%len(targets)].Server}
}

// TwoChoices pushes each request to the less loaded of two random agents, by their last reports.
type TwoChoices struct {
	rng *rand.Rand
}

var _ laburnumring.Placement = (*TwoChoices)(nil)

// NewTwoChoices returns a placement that draws from rng.
func NewTwoChoices(rng *rand.Rand) *TwoChoices {
	return &TwoChoices{rng: rng}
}

// Choose implements laburnumring.Placement.
func (p *TwoChoices) Choose(targets []laburnumring.Target) []string {
	if len(targets) == 0 {
		return nil
	}
	a := targets[p.rng.IntN(len(targets))]
	b := targets[p.rng.IntN(len(targets))]
	if b.Load*max(1, a.Slots) < a.Load*max(1, b.Slots) {
		a = b
	}
	return []string{a.Server}
}
