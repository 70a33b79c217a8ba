package forecast_test

import (
	"math/rand/v2"
	"testing"

	"github.com/laburnumring/laburnumring/internal/forecast"
	"github.com/laburnumring/laburnumring/pkg/clock"
)

// TestForecastLearns observes engines that are faster than the prior, and one that is five times slower than those.
func TestForecastLearns(t *testing.T) {
	r := rand.New(rand.NewPCG(1, 1))
	f := forecast.New()
	for range 2000 {
		tokens := r.Int64N(20000)
		took := 40 + float64(tokens)/200
		f.Observe("fast", tokens, clock.Millis(took*(0.8+0.4*r.Float64())))
		if tokens%10 == 0 {
			f.Observe("slow", tokens, clock.Millis(5*took))
		}
	}
	for _, c := range []struct {
		server string
		want   float64
	}{{"fast", 90}, {"slow", 450}} {
		if got := f.Predict(c.server, 10000); got < 0.8*c.want || got > 1.25*c.want {
			t.Errorf("%s: predicted %.0f ms, want about %.0f", c.server, got, c.want)
		}
	}
	f.Forget("slow")
	if got := f.Predict("slow", 10000); got > 120 {
		t.Errorf("forgotten server: predicted %.0f ms, want at most 120", got)
	}
}
