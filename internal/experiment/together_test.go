package experiment_test

import (
	"testing"

	"github.com/laburnumring/laburnumring/internal/experiment"
)

// TestTeamBehindBusyRouter floods small routers with one team each. No team may begin less than half of what it is owed
// beside the best one in six seconds.
func TestTeamBehindBusyRouter(t *testing.T) {
	for seed := uint64(1); seed <= 4; seed++ {
		site, load := experiment.Together(seed)
		r, err := experiment.Run(site, load, "intake")
		if err != nil {
			t.Fatal(err)
		}
		t.Logf("%+v", r)
		if r.Margin < 0.5 {
			t.Errorf("seed %d: %s began %.2f of what it was owed", seed, r.MarginTeam, r.Margin)
		}
	}
}
