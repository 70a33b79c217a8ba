package placement

import (
	"math/rand/v2"

	"github.com/laburnumring/laburnumring"
)

// RoundRobin chooses the agents in turn, one for each request.
type RoundRobin struct {
	// choices is the number of choices made, plus a random start.
	choices int
}

var _ laburnumring.Placement = (*RoundRobin)(nil)

// NewRoundRobin returns a placement that starts at a random agent.
func NewRoundRobin(rng *rand.Rand) *RoundRobin {
	return &RoundRobin{choices: rng.IntN(1 << 16)}
}

// Choose implements laburnumring.Placement.
func (p *RoundRobin) Choose(targets []laburnumring.Target) []string {
	if len(targets) == 0 {
		return nil
	}
	p.choices++
	return []string{targets[p.choices%len(targets)].Server}
}

// TwoChoices chooses the less loaded of two random agents, as reported by them.
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
