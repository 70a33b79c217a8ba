package hysteresis_test

import (
	"testing"

	"github.com/laburnumring/laburnumring/internal/hysteresis"
)

// TestState moves a figure up and down and checks that the state changes at different means, once each.
func TestState(t *testing.T) {
	m := hysteresis.New(hysteresis.Options{Enter: 0.5, Leave: 0.2, TimeConstant: 1000})
	changes := 0
	run := func(value float64, steps int) {
		for range steps {
			if m.Observe(value, 100) {
				changes++
			}
		}
	}
	for _, c := range []struct {
		value float64
		steps int
		want  bool
	}{{1, 5, false}, {1, 2, true}, {0, 5, true}, {0, 10, false}, {0.4, 50, false}, {0.6, 50, true}, {0.4, 50, true}} {
		run(c.value, c.steps)
		if m.On() != c.want {
			t.Errorf("after %d steps of %.1f: on %v with a mean of %.2f, want %v", c.steps, c.value, m.On(), m.Mean(), c.want)
		}
	}
	if changes != 3 {
		t.Errorf("%d changes, want 3", changes)
	}
}
