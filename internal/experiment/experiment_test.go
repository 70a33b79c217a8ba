package experiment_test

import (
	"testing"

	"github.com/laburnumring/laburnumring/internal/experiment"
)

// TestCrowdedEngines replays a load that asks the engines for nearly three times their configured throughput while
// teams flood in turns. Placement by load alone leaves nearly every request late; sharing, refusing and placing by
// kept parts must serve most of what teams are owed on time, and no team may go without.
func TestCrowdedEngines(t *testing.T) {
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
		own := results["intake"]
		for _, name := range experiment.Policies()[1:] {
			base := results[name]
			if own.Owed < 2*base.Owed {
				t.Errorf("seed %d: owed and served %.2f, %s %.2f", seed, own.Owed, name, base.Owed)
			}
			if own.WorstTeam <= base.WorstTeam {
				t.Errorf("seed %d: worst team %.2f, %s %.2f", seed, own.WorstTeam, name, base.WorstTeam)
			}
			if own.Again*5 > base.Again {
				t.Errorf("seed %d: tokens read again %d, %s %d", seed, own.Again, name, base.Again)
			}
		}
		// The users' gate wants no team served less than a quarter as well as all.
		if own.WorstTeam < own.Owed/4 {
			t.Errorf("seed %d: worst team %.2f of %.2f over all", seed, own.WorstTeam, own.Owed)
		}
		if own.Failed > own.Asked/100 {
			t.Errorf("seed %d: %d of %d requests failed after they were sent", seed, own.Failed, own.Asked)
		}
	}
}

// TestRunRepeats checks that a run depends on its seed alone.
func TestRunRepeats(t *testing.T) {
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
