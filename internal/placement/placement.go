package placement

import (
	"math/rand/v2"

	"github.com/laburnumring/laburnumring"
)

// For returns the placement of a policy. A policy that does not push chooses up to tickets agents for a request.
func For(p laburnumring.Policy, rng *rand.Rand, tickets int) laburnumring.Placement {
	switch p {
	case laburnumring.RoundRobin:
		return NewRoundRobin(rng)
	case laburnumring.TwoChoices:
		return NewTwoChoices(rng)
	default:
		return NewSample(rng, tickets)
	}
}
