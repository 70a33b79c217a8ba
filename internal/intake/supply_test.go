package intake

import (
	"testing"

	"github.com/laburnumring/laburnumring/pkg/clock"
)

// TestCapacityEstimateRecovers simulates one of many routers after a burst. During the burst requests started late;
// once engines are free again, most requests are refused, so that few starts show it.
func TestCapacityEstimateRecovers(t *testing.T) {
	var s capacityEstimate
	now := clock.Millis(1000)
	runSecond := func(forecastWait, observedWait float64, starts int) float64 {
		for i := range 20 {
			now += 50
			s.observe(now, forecastWait, 0.1, 0)
			if i < starts {
				s.observeWait(observedWait)
			}
		}
		return s.factor
	}
	var low, high float64
	for range 5 {
		low = runSecond(0.5, 0.9, 20)
	}
	for range 4 {
		high = runSecond(0, 0, 1)
	}
	if low > 1 || high < initialFactor {
		t.Errorf("factor %.2f after the burst and %.2f four seconds later, want it back at %.2f", low, high, initialFactor)
	}
}
