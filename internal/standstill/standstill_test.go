package standstill_test

import (
	"testing"

	"github.com/laburnumring/laburnumring/internal/standstill"
	"github.com/laburnumring/laburnumring/pkg/clock"
)

// TestDetector plays a process that beats every ten milliseconds until 1,000 ms, and handles a message later.
func TestDetector(t *testing.T) {
	for name, c := range map[string]struct {
		// steady and wall are the times from the last beat to the message, and beat whether there is one in between.
		steady, wall clock.Millis
		beat         bool
		want         bool
	}{
		"runs":                              {steady: 10, wall: 10},
		"starved":                           {steady: 200, wall: 200},
		"stopped":                           {steady: 5000, wall: 5000, want: true},
		"stopped, and has run since":        {steady: 5000, wall: 5000, beat: true, want: true},
		"suspended":                         {steady: 10, wall: 5000, want: true},
		"suspended, and has run since":      {steady: 10, wall: 5000, beat: true, want: true},
		"its time of day was set back":      {steady: 10, wall: -5000},
		"stopped, its time of day set back": {steady: 5000, wall: -5000, want: true},
	} {
		t.Run(name, func(t *testing.T) {
			var d standstill.Detector
			now, wall := clock.Millis(0), clock.Millis(1_000_000)
			for now < 1000 {
				now, wall = now+10, wall+10
				d.Beat(now, wall)
			}
			now, wall = now+c.steady, wall+c.wall
			if c.beat {
				d.Beat(now, wall)
				now, wall = now+10, wall+10
			}
			if got := d.Recent(now, wall); got != c.want {
				t.Errorf("recent standstill %v, want %v", got, c.want)
			}
			d.Beat(now, wall)
			for range 40 {
				now, wall = now+10, wall+10
				d.Beat(now, wall)
			}
			if d.Recent(now, wall) {
				t.Error("the standstill counts as recent for too long")
			}
		})
	}
}
