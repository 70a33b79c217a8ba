package retrycap_test

import (
	"testing"

	"github.com/laburnumring/laburnumring/internal/retrycap"
	"github.com/laburnumring/laburnumring/pkg/clock"

	"pgregory.net/rapid"
)

// TestEveryWindow holds random requests and repeats to the bound over every window that ends with a repeat.
func TestEveryWindow(t *testing.T) {
	const window = 1000
	rapid.Check(t, func(t *rapid.T) {
		c := retrycap.New(retrycap.Options{Window: window, Ratio: 0.2, Burst: 30})
		var requests, repeats []clock.Millis
		now := clock.Millis(0)
		for range rapid.IntRange(1, 300).Draw(t, "steps") {
			now += clock.Millis(rapid.IntRange(0, 40).Draw(t, "pause"))
			if rapid.Bool().Draw(t, "request") {
				c.Request(now)
				requests = append(requests, now)
				continue
			}
			if !c.Repeat(now, 0.1) {
				continue
			}
			repeats = append(repeats, now)
			if got, most := within(repeats, now-window), 3+0.2*float64(within(requests, now-window)); float64(got) > most {
				t.Fatalf("%d repeats in a window that allows %.1f", got, most)
			}
		}
	})
}

func within(times []clock.Millis, after clock.Millis) int {
	n := 0
	for _, at := range times {
		if at > after {
			n++
		}
	}
	return n
}
