package experiment_test

import (
	"testing"

	"github.com/laburnumring/laburnumring/internal/experiment"
)

// TestIntakeBeatsBaselinesWhenOverloaded offers the engines nearly three times their configured throughput while teams
// flood in turns. Placement by load alone leaves nearly every request late. With fair shares, refusals and placement by
// cached prompt parts, most of the teams' entitlement must be served on time, and no team may go without.
func TestIntakeBeatsBaselinesWhenOverloaded(t *testing.T) {
	for seed := uint64(1); seed <= 3; seed++ {
		site, load := experiment.Crowded(seed)
		results := make(map[string]experiment.Result)
		for _, name := range experiment.Policies() {
			r, err := experiment.Run(site, load, name)
			if err != nil {
				t.Fatal(err)
			}
			t.Logf("%+v", r)
			results[name] = r
		}
		intake := results["intake"]
		for _, name := range experiment.Policies()[1:] {
			baseline := results[name]
			if intake.EntitlementServed < 2*baseline.EntitlementServed {
				t.Errorf("seed %d: entitlement served %.2f, %s %.2f",
					seed, intake.EntitlementServed, name, baseline.EntitlementServed)
			}
			if intake.WorstTeam <= baseline.WorstTeam {
				t.Errorf("seed %d: worst team %.2f, %s %.2f", seed, intake.WorstTeam, name, baseline.WorstTeam)
			}
			if intake.PrefilledAgain*5 > baseline.PrefilledAgain {
				t.Errorf("seed %d: tokens prefilled again %d, %s %d", seed, intake.PrefilledAgain, name, baseline.PrefilledAgain)
			}
		}
		// The requirement: no team is served less than a quarter as well as all teams together.
		if intake.WorstTeam < intake.EntitlementServed/4 {
			t.Errorf("seed %d: worst team %.2f of %.2f over all", seed, intake.WorstTeam, intake.EntitlementServed)
		}
		if intake.Failed > intake.Asked/100 {
			t.Errorf("seed %d: %d of %d requests failed after they were sent", seed, intake.Failed, intake.Asked)
		}
	}
}

// TestRunIsDeterministic checks that the result of a run depends on its seed alone.
func TestRunIsDeterministic(t *testing.T) {
	site, load := experiment.Crowded(7)
	a, err := experiment.Run(site, load, "intake")
	if err != nil {
		t.Fatal(err)
	}
	b, err := experiment.Run(site, load, "intake")
	if err != nil {
		t.Fatal(err)
	}
	if a != b {
		t.Errorf("two runs of one seed differ:\n%+v\n%+v", a, b)
	}
}
