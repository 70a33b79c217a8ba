package agent

import "testing"

// TestOwesAnswer holds a shutdown to waiting for routers whose streams were cut, for a bounded time.
func TestOwesAnswer(t *testing.T) {
	for _, tc := range []struct {
		name string
		run  startedRun
		owes bool
	}{
		{"delivered", startedRun{delivered: true, idleSince: 1000}, false},
		{"delivered, and fetched a second time", startedRun{delivered: true, readers: 1}, true},
		{"being delivered", startedRun{readers: 1}, true},
		{"cut off just now", startedRun{idleSince: 10_000}, true},
		{"cut off long ago", startedRun{idleSince: 10_000 - reattachWait}, false},
	} {
		if got := tc.run.owesAnswer(10_000); got != tc.owes {
			t.Errorf("%s: owes an answer %v", tc.name, got)
		}
	}
}
