package share

import (
	"github.com/laburnumring/laburnumring"
	"github.com/laburnumring/laburnumring/pkg/clock"
)

// Oldest picks the team whose oldest request has waited longest, regardless of the service that teams received.
type Oldest struct{}

var _ laburnumring.TeamOrder = Oldest{}

// Next implements laburnumring.TeamOrder.
func (Oldest) Next(_ clock.Millis, candidates []laburnumring.Candidate) int {
	best := 0
	for i, c := range candidates {
		if c.Since < candidates[best].Since {
			best = i
		}
	}
	return best
}

// Expect implements laburnumring.TeamOrder.
func (Oldest) Expect(string, int64) {}

// Charge implements laburnumring.TeamOrder.
func (Oldest) Charge(string, int64) {}
