package cost_test

import (
	"math/rand/v2"
	"testing"

	"github.com/laburnumring/laburnumring/internal/cost"
)

// TestHintsAreCorrected checks the mean error of the predictions for hints that are wrong in several ways.
func TestHintsAreCorrected(t *testing.T) {
	tests := []struct {
		name string
		hint func(rng *rand.Rand, cost int64) int64
		// maxError is the largest allowed mean error, in units.
		maxError float64
	}{
		{"right", func(_ *rand.Rand, c int64) int64 { return c }, 1},
		{"eight times too high", func(_ *rand.Rand, c int64) int64 { return 8 * c }, 1},
		{"an eighth", func(_ *rand.Rand, c int64) int64 { return max(1, c/8) }, 6},
		{"none", func(*rand.Rand, int64) int64 { return 1 }, 16},
		{"up to eight times either way", func(rng *rand.Rand, c int64) int64 {
			if rng.IntN(2) == 0 {
				return c * (1 + rng.Int64N(8))
			}
			return max(1, c/(1+rng.Int64N(8)))
		}, 20},
	}
	const requests = 500
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			rng := rand.New(rand.NewPCG(1, 2))
			e := cost.New()
			sum := int64(0)
			for range requests {
				c := 8 + rng.Int64N(49)
				hint := tt.hint(rng, c)
				sum += max(e.Expect("a", hint)-c, c-e.Expect("a", hint))
				e.Learn("a", hint, c)
			}
			if mean := float64(sum) / requests; mean > tt.maxError {
				t.Fatalf("mean error %.1f units, at most %.1f allowed", mean, tt.maxError)
			}
		})
	}
}

// TestUnknownTeam checks that a team's first hint is used as it is.
func TestUnknownTeam(t *testing.T) {
	e := cost.New()
	if got := e.Expect("a", 40); got != 40 {
		t.Fatalf("expected %d, want the hint", got)
	}
	if got := e.Expect("a", 0); got != 1 {
		t.Fatalf("expected %d, want 1", got)
	}
}
