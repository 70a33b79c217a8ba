package intake_test

import (
	"testing"

	"github.com/laburnumring/laburnumring/pkg/clock"
)

// TestPollIsBounded has many requests wait for engines without free slots, until they have waited too long. A poll must
// decide on a limited number of them, and all must be refused soon.
func TestPollIsBounded(t *testing.T) {
	const (
		mostAtOnce = 32
		bound      = 200 * clock.Millis(1)
		late       = 1501 * clock.Millis(1)
	)
	c, report := newBusy(93, 60, 12, 12)
	fillBacklog(c, report, 1, 10*clock.Second)
	if c.Waiting() != waiting {
		t.Fatalf("%d requests wait, want %d", c.Waiting(), waiting)
	}
	for now := late; c.Waiting() > 0; now++ {
		if now > late+bound {
			t.Fatalf("%d requests still wait %d ms after their time", c.Waiting(), now-late)
		}
		c.Merge(now, "peer", report)
		if n := len(c.Poll(now)); n > mostAtOnce {
			t.Fatalf("%d decisions in one poll, want at most %d", n, mostAtOnce)
		}
	}
}
