package experiment_test

import (
	"testing"

	"github.com/laburnumring/laburnumring/internal/experiment"
)

// TestMarginOfTeamsAtBusyRouters floods small routers with one team each. No team may start less than half of its
// entitlement, measured against the best team, in six seconds.
func TestMarginOfTeamsAtBusyRouters(t *testing.T) {
	for seed := uint64(1); seed <= 4; seed++ {
		site, load := experiment.StickyBursts(seed)
		r, err := experiment.Run(site, load, "intake")
		if err != nil {
			t.Fatal(err)
		}
		t.Logf("%+v", r)
		if r.Margin < 0.5 {
			t.Errorf("seed %d: %s started %.2f of its entitlement", seed, r.MarginTeam, r.Margin)
		}
	}
}
