package agent

import "testing"

// TestDeliveryPending checks that a shutdown waits for routers whose streams broke, but only for reattachWait.
func TestDeliveryPending(t *testing.T) {
	for _, tc := range []struct {
		name    string
		run     startedRun
		pending bool
	}{
		{"delivered", startedRun{delivered: true, idleSince: 1000}, false},
		{"delivered, and fetched a second time", startedRun{delivered: true, readers: 1}, true},
		{"being delivered", startedRun{readers: 1}, true},
		{"cut off just now", startedRun{idleSince: 10_000}, true},
		{"cut off long ago", startedRun{idleSince: 10_000 - reattachWait}, false},
	} {
		if got := tc.run.deliveryPending(10_000); got != tc.pending {
			t.Errorf("%s: delivery pending %v", tc.name, got)
		}
	}
}
