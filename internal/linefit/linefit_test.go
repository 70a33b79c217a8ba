package linefit_test

import (
	"math"
	"testing"

	"github.com/laburnumring/laburnumring/internal/linefit"
)

// TestSlopeOfAlikeObservations fits observations whose x hardly differ. Without a ridge the slope is that of their noise;
// with one it must be near 0, and without any difference there is none.
func TestSlopeOfAlikeObservations(t *testing.T) {
	var l linefit.Line
	l.Add(0.5, 1, 1, 1)
	if _, ok := l.Slope(0); ok {
		t.Error("one observation has a slope")
	}
	l.Add(0.51, 1.5, 1, 1)
	if v, _ := l.Slope(0); math.Abs(v-50) > 1e-6 {
		t.Errorf("slope %v, want 50", v)
	}
	if v, _ := l.Slope(0.125); v > 0.1 {
		t.Errorf("slope %v with a ridge, want at most 0.1", v)
	}
	if base := l.Base(0); math.Abs(base-l.Mean()) > 1e-9 {
		t.Errorf("base %v, want the mean %v", base, l.Mean())
	}
}
