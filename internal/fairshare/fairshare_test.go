package fairshare_test

import (
	"math"
	"testing"

	"github.com/laburnumring/laburnumring/internal/fairshare"
)

// timeConstants are the settings of the tests.
var timeConstants = fairshare.Options{DemandTimeConstant: 2000, ServedTimeConstant: 2000, RecentTimeConstant: 1000}

func TestFairRate(t *testing.T) {
	for _, c := range []struct {
		name     string
		capacity float64
		demands  []float64
		want     float64
	}{
		{"no teams", 100, nil, math.Inf(1)},
		{"enough for all", 100, []float64{30, 30, 30}, math.Inf(1)},
		{"one floods", 100, []float64{10, 20, 500}, 70},
		{"two flood", 100, []float64{10, 500, 500}, 45},
		{"all flood", 90, []float64{100, 200, 300}, 30},
	} {
		teams := make(map[string]fairshare.Rates)
		for i, demand := range c.demands {
			teams[string(rune('a'+i))] = fairshare.Rates{Demand: demand}
		}
		if got := fairshare.FairRate(c.capacity, teams); got != c.want {
			t.Errorf("%s: fair rate %v, want %v", c.name, got, c.want)
		}
	}
}

// TestLedger checks the rates of a team that received much while no other had demand: once forgiven, the usage must not
// count against it, and reports of silent peers must expire.
func TestLedger(t *testing.T) {
	l := fairshare.New(timeConstants)
	l.AddDemand(0, "ann", 200_000)
	l.AddServed(0, "ann", 200_000)
	l.Merge(0, "r2", map[string]fairshare.Rates{"ann": {Demand: 50_000, Served: 100_000}, "bob": {Demand: 10}})
	total := l.Totals(0)
	if total["ann"].Served != 200_000 || total["bob"].Demand != 10 {
		t.Fatalf("totals %v", total)
	}
	l.Forgive(0, 50_000, total)
	if got := l.Report(0)["ann"].Served; got != 25_000 {
		t.Errorf("served %v after Forgive, want this router's half of 50000", got)
	}
	if got := l.Totals(2000)["bob"]; got != (fairshare.Rates{}) {
		t.Errorf("report of a silent peer has not expired: %v", got)
	}
	if got := l.Report(2000)["ann"].Demand; math.Abs(got-100_000/math.E) > 1 {
		t.Errorf("demand after one time constant: %v", got)
	}
	l.AddServed(2000, "ann", -1<<40)
	if got := l.Report(2000)["ann"].Served; got != 0 {
		t.Errorf("served %v after a larger reversal, want 0", got)
	}
}

// TestLocalFraction checks the fraction of a team's tokens that arrive at one router.
func TestLocalFraction(t *testing.T) {
	l := fairshare.New(timeConstants)
	if fraction, own := l.LocalFraction(0, "ann"); fraction != 0 || own != (fairshare.Rates{}) {
		t.Errorf("fraction %v, rates %v of a team without requests", fraction, own)
	}
	l.AddArrived(0, "ann", 25_000)
	l.AddServed(0, "ann", 20_000)
	l.Merge(0, "r2", map[string]fairshare.Rates{"ann": {Demand: 75_000, Served: 40_000, Arrived: 75_000, Recent: 40_000}})
	want := fairshare.Rates{Served: 10_000, Arrived: 25_000, Recent: 20_000}
	if fraction, own := l.LocalFraction(0, "ann"); fraction != 0.25 || own != want {
		t.Errorf("fraction %v, rates %v, want a quarter and %v", fraction, own, want)
	}
	if total := l.Total(0, "ann"); total.Recent != 60_000 || total.Arrived != 100_000 {
		t.Errorf("total %v", total)
	}
}
