package cpulag_test

import (
	"testing"

	"github.com/laburnumring/laburnumring/internal/cpulag"
	"github.com/laburnumring/laburnumring/pkg/clock"
)

// TestOverloaded simulates the timers of an idle process, one that uses up its processor quota in each tenth of a
// second, one that was suspended once, and one with too much work.
func TestOverloaded(t *testing.T) {
	for _, c := range []struct {
		name string
		late func(i int) clock.Millis
		want bool
	}{
		{"calm", func(int) clock.Millis { return 1 }, false},
		{"quota", func(i int) clock.Millis { return clock.Millis(i%4/3) * 70 }, false},
		{"suspended once", func(i int) clock.Millis { return clock.Millis(i/98) * 5000 }, false},
		{"too much work", func(int) clock.Millis { return 250 }, true},
	} {
		m := cpulag.New(cpulag.Options{Enter: 90, Leave: 40, TimeConstant: 700})
		now := clock.Millis(1000)
		for i := range 99 {
			now += 10 + c.late(i)
			m.Fired(now, 10)
		}
		if m.Overloaded() != c.want {
			t.Errorf("%s: overloaded %v with a mean lag of %d ms", c.name, m.Overloaded(), m.Lag())
		}
		for range 500 {
			now += 10
			m.Fired(now, 10)
		}
		if m.Overloaded() {
			t.Errorf("%s: still overloaded after five idle seconds", c.name)
		}
	}
}
