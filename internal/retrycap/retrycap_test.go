package retrycap_test

import (
	"testing"

	"github.com/laburnumring/laburnumring/internal/retrycap"
	"github.com/laburnumring/laburnumring/pkg/clock"

	"pgregory.net/rapid"
)

// TestEveryWindow makes random requests and repeated attempts and checks the limit over every window that ends with a
// repeated attempt.
func TestEveryWindow(t *testing.T) {
	const window = 1000
	rapid.Check(t, func(t *rapid.T) {
		c := retrycap.New(retrycap.Options{Window: window, Ratio: 0.2, Burst: 30})
		var requests, repeats []clock.Millis
		now := clock.Millis(0)
		for range rapid.IntRange(1, 300).Draw(t, "steps") {
			now += clock.Millis(rapid.IntRange(0, 40).Draw(t, "pause"))
			if rapid.Bool().Draw(t, "request") {
				c.CountRequest(now)
				requests = append(requests, now)
				continue
			}
			if !c.AllowRepeat(now, 0.1) {
				continue
			}
			repeats = append(repeats, now)
			if got, limit := countAfter(repeats, now-window), 3+0.2*float64(countAfter(requests, now-window)); float64(got) > limit {
				t.Fatalf("%d repeated attempts in a window that allows %.1f", got, limit)
			}
		}
	})
}

func countAfter(times []clock.Millis, after clock.Millis) int {
	n := 0
	for _, at := range times {
		if at > after {
			n++
		}
	}
	return n
}
