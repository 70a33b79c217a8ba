package share_test

import (
	"testing"

	"github.com/laburnumring/laburnumring"
	"github.com/laburnumring/laburnumring/internal/share"
)

// TestLiftIncludesExpectedCost guards against lifting a team with running work, on its return from idle, past a team
// that waited all the time.
func TestLiftIncludesExpectedCost(t *testing.T) {
	l := share.NewLocal(func(string) int64 { return 1 })
	both := []laburnumring.Candidate{{Team: "returning"}, {Team: "waiting"}}
	waiting := both[1:]
	l.Next(0, waiting)
	l.Charge("waiting", 100)
	l.Next(0, waiting)
	l.Expect("returning", 40)
	if got := l.Next(0, both); got != 0 {
		t.Fatalf("served %s first; both counters are 100", both[got].Team)
	}
	l.Expect("returning", 1)
	if got := l.Next(0, both); got != 1 {
		t.Fatalf("served %s first; its counter is 101", both[got].Team)
	}
}
