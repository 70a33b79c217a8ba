package measure

import (
	"math"
	"slices"
	"time"

	"github.com/laburnumring/laburnumring"
)

// Gap is the largest weighted difference of service between two backlogged teams, in service units.
type Gap struct {
	// Run is the largest over all times in which both teams were backlogged without a break.
	Run float64 `json:"run"`
	// Window is the largest over any second of such a time.
	Window float64 `json:"window_1s"`
	// ShareOfBound is Run divided by the formula's bound.
	ShareOfBound float64 `json:"share_of_bound"`
}

// ByTeams holds a figure for the smallest and the largest teams.
type ByTeams struct {
	Smallest float64 `json:"smallest"`
	Largest  float64 `json:"largest"`
}

// Rates are the traffic of one role's nodes, in bytes a second.
type Rates struct {
	Largest float64 `json:"largest"`
	Mean    float64 `json:"mean"`
}

// ByRole holds the control traffic of each role.
type ByRole struct {
	Router Rates `json:"router"`
	Agent  Rates `json:"agent"`
}

// Result is one line of the measurement.
type Result struct {
	Scenario     string              `json:"scenario"`
	Policy       laburnumring.Policy `json:"policy"`
	FairnessGap  Gap                 `json:"fairness_gap"`
	Utilisation  float64             `json:"utilisation"`
	ControlBytes ByRole              `json:"control_bytes_per_node_s"`
	WaitP50      ByTeams             `json:"wait_p50_ms"`
	WaitP95      ByTeams             `json:"wait_p95_ms"`
	LongestWait  ByTeams             `json:"longest_wait_ms"`
	RetriesShare float64             `json:"retries_share"`
}

const (
	// warmUp is left out of the figures.
	warmUp = time.Second
	// window is the length of the gap's short window.
	window = time.Second
	// samplePeriod is the time between two samples.
	samplePeriod = 20 * time.Millisecond
)

// The agents' settings that the bound depends on.
const (
	reportSeconds = 0.25
	leadUnits     = 512
	// localLeadDivisor is how much smaller the bound on an agent's own counters is.
	localLeadDivisor = 8
	// treeDepth is the depth of the agents' tree at the sites' sizes.
	treeDepth = 1
)

// Bound returns the formula's bound on the gap, in weighted service units: what all slots may hold uncharged,
// what the fleet serves while a report goes up and down the tree, what the agents' own counters may hold
// against the fleet's, and the lead of one team at the start.
func Bound(s Site) float64 {
	inFlight := float64(s.Slots() * maxTokens)
	unseen := 2 * treeDepth * reportSeconds * s.Capacity()
	local := float64(s.modelServers * leadUnits / localLeadDivisor)
	return inFlight + unseen + local + leadUnits
}

// result computes the figures of a run from what was seen.
func (t *Truth) result(s Site) Result {
	t.mu.Lock()
	defer t.mu.Unlock()
	samples := slices.DeleteFunc(slices.Clone(t.samples), func(v sample) bool { return v.at < warmUp })
	var r Result
	r.FairnessGap = gapOf(s, samples)
	r.Utilisation = utilisationOf(s, samples)
	if t.first > 0 {
		r.RetriesShare = round(float64(t.again) / float64(t.first))
	}
	small, large := t.waitsOf(s)
	r.WaitP50 = ByTeams{quantile(small, 0.5), quantile(large, 0.5)}
	r.WaitP95 = ByTeams{quantile(small, 0.95), quantile(large, 0.95)}
	r.LongestWait = ByTeams{quantile(small, 1), quantile(large, 1)}
	return r
}

func gapOf(s Site, samples []sample) Gap {
	var g Gap
	teams := s.Teams()
	for i, a := range teams {
		for _, b := range teams[i+1:] {
			run, win := pairGap(samples, a.Name(), b.Name(), float64(a.Weight()), float64(b.Weight()))
			g.Run = max(g.Run, run)
			g.Window = max(g.Window, win)
		}
	}
	g.ShareOfBound = round(g.Run / Bound(s))
	g.Run = round(g.Run)
	g.Window = round(g.Window)
	return g
}

// pairGap returns how far the difference between two teams moved while both were backlogged.
func pairGap(samples []sample, a, b string, weightA, weightB float64) (run, win float64) {
	low, high := math.Inf(1), math.Inf(-1)
	var diffs []float64
	for _, v := range samples {
		if v.waiting[a] == 0 || v.waiting[b] == 0 {
			low, high, diffs = math.Inf(1), math.Inf(-1), nil
			continue
		}
		d := float64(v.tokens[a])/weightA - float64(v.tokens[b])/weightB
		low, high = min(low, d), max(high, d)
		run = max(run, high-low)
		diffs = append(diffs, d)
		if back := len(diffs) - 1 - int(window/samplePeriod); back >= 0 {
			win = max(win, math.Abs(d-diffs[back]))
		}
	}
	return run, win
}

// utilisationOf is the share of slots that are busy while any work waits.
func utilisationOf(s Site, samples []sample) float64 {
	busy, n := 0, 0
	for _, v := range samples {
		if v.waitingTotal() > 0 {
			busy += v.busy
			n++
		}
	}
	if n == 0 {
		return 1
	}
	return round(float64(busy) / float64(n*s.Slots()))
}

func (v sample) waitingTotal() int {
	sum := 0
	for _, n := range v.waiting {
		sum += n
	}
	return sum
}

// waitsOf returns the sorted waits of the small and of the large teams, in milliseconds.
func (t *Truth) waitsOf(s Site) (small, large []float64) {
	for i, v := range s.Teams() {
		for _, w := range t.teams[v.Name()].waits {
			ms := float64(w) / float64(time.Millisecond)
			if i < s.Large() {
				large = append(large, ms)
				continue
			}
			small = append(small, ms)
		}
	}
	slices.Sort(small)
	slices.Sort(large)
	return small, large
}

func quantile(sorted []float64, q float64) float64 {
	if len(sorted) == 0 {
		return 0
	}
	return round(sorted[min(len(sorted)-1, int(q*float64(len(sorted))))])
}

// round keeps three digits after the point.
func round(v float64) float64 { return math.Round(v*1000) / 1000 }
