package share_test

import (
	"flag"
	"fmt"
	"maps"
	"os"
	"slices"
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"
	"pgregory.net/rapid"

	"github.com/laburnumring/laburnumring"
	"github.com/laburnumring/laburnumring/internal/share"
	"github.com/laburnumring/laburnumring/pkg/clock"
)

// TestMain fixes the seed of random runs unless the command line gives one.
func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", "20261203")
	_ = flag.Set("rapid.nofailfile", "true")
	os.Exit(m.Run())
}

// agents is a tree of controllers whose messages the test carries.
type agents struct {
	lead   int64
	now    clock.Millis
	fleets map[string]*share.Fleet
	runs   map[string]int
	// sent holds all reports of each agent.
	sent map[string][]sentReport
}

type sentReport struct {
	parent string
	report share.Report
}

func newAgents(lead int64) *agents {
	return &agents{
		lead: lead, fleets: make(map[string]*share.Fleet), runs: make(map[string]int),
		sent: make(map[string][]sentReport),
	}
}

// start starts an agent with no state.
func (a *agents) start(name string) {
	a.runs[name]++
	a.fleets[name] = share.NewFleet(share.Options{
		Name: name, Incarnation: fmt.Sprint(a.runs[name]), Lead: a.lead,
		Weight: func(team string) int64 {
			if strings.HasPrefix(team, "heavy") {
				return 4
			}
			return 1
		},
	})
}

// report carries one report from child to parent. The mode is empty, lost, reply_lost or doubled.
func (a *agents) report(child, parent, mode string) {
	r := a.fleets[child].Report(parent)
	a.sent[child] = append(a.sent[child], sentReport{parent, r})
	if mode == "lost" {
		return
	}
	reply := a.fleets[parent].Receive(a.now, r)
	if mode == "doubled" {
		reply = a.fleets[parent].Receive(a.now, r)
	}
	if mode != "reply_lost" {
		a.fleets[child].Acknowledge(reply)
	}
}

// repeat delivers the report that child sent back reports before its last but one a second time.
func (a *agents) repeat(child string, back int) {
	i := len(a.sent[child]) - 2 - back
	if i < 0 {
		return
	}
	s := a.sent[child][i]
	a.fleets[s.parent].Receive(a.now, s.report)
}

// show prints every agent's counters of the teams.
func (a *agents) show(teams []string) string {
	var b strings.Builder
	for _, name := range slices.Sorted(maps.Keys(a.fleets)) {
		f := a.fleets[name]
		fmt.Fprintf(&b, "%s", name)
		if f.IsRoot() {
			b.WriteString(" (root)")
		}
		for _, t := range teams {
			fmt.Fprintf(&b, " %s=%d", t, f.Counter(t))
		}
		b.WriteString("\n")
	}
	return b.String()
}

func (a *agents) next(name string, teams []string) string {
	var c []laburnumring.Candidate
	for _, t := range teams {
		c = append(c, laburnumring.Candidate{Team: t})
	}
	return teams[a.fleets[name].Next(a.now, c)]
}

// TestScripts runs the scripts in testdata/fleet.
func TestScripts(t *testing.T) {
	datadriven.Walk(t, "testdata/fleet", func(t *testing.T, path string) {
		a := newAgents(1 << 20)
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			var out strings.Builder
			for line := range strings.Lines(d.Input) {
				a.command(t, &out, strings.Fields(line))
			}
			return out.String()
		})
	})
}

func (a *agents) command(t *testing.T, out *strings.Builder, f []string) {
	switch f[0] {
	case "lead":
		_, err := fmt.Sscan(f[1], &a.lead)
		if err != nil {
			t.Fatal(err)
		}
	case "start":
		for _, name := range f[1:] {
			a.start(name)
		}
	case "root":
		a.fleets[f[1]].BecomeRoot()
	case "charge":
		var units int64
		if _, err := fmt.Sscan(f[3], &units); err != nil {
			t.Fatal(err)
		}
		a.fleets[f[1]].Charge(f[2], units)
	case "wait":
		a.fleets[f[1]].SetWaiting(f[2:])
	case "report":
		a.report(f[1], f[2], strings.Join(f[3:], ""))
	case "late":
		a.repeat(f[1], 0)
	case "tick":
		a.now += 100
		a.fleets[f[1]].Tick(a.now)
	case "next":
		fmt.Fprintf(out, "%s serves %s\n", f[1], a.next(f[1], f[2:]))
	case "show":
		out.WriteString(a.show(f[1:]))
	default:
		t.Fatalf("unknown command %q", f[0])
	}
}

// names are the agents of random runs: agent-0 is the root, 1 and 2 its children, the others theirs.
func names() []string {
	out := make([]string, 7)
	for i := range out {
		out[i] = fmt.Sprintf("agent-%d", i)
	}
	return out
}

func preferred(i int) int { return (i - 1) / 2 }

// quiesce reports from the leaves to the root and back until nothing changes.
func (a *agents) quiesce(all []string) {
	for range 3 * len(all) {
		for i := len(all) - 1; i > 0; i-- {
			a.report(all[i], all[preferred(i)], "")
		}
		a.fleets[all[0]].Tick(a.now)
	}
}

// TestSumSurvivesMessages checks that whatever happens to reports and replies, and whoever is asked to relay
// them, every agent's counters end as the sum of what was charged.
func TestSumSurvivesMessages(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a := newAgents(1 << 40)
		all := names()
		for _, name := range all {
			a.start(name)
		}
		a.fleets[all[0]].BecomeRoot()
		want := make(map[string]int64)
		t.Repeat(map[string]func(*rapid.T){
			"charge": func(t *rapid.T) {
				team := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "team")
				units := rapid.Int64Range(-50, 200).Draw(t, "units")
				a.fleets[rapid.SampledFrom(all).Draw(t, "agent")].Charge(team, units)
				want[team] += units
			},
			"report": func(t *rapid.T) {
				i := rapid.IntRange(1, len(all)-1).Draw(t, "child")
				mode := rapid.SampledFrom([]string{"", "lost", "reply_lost", "doubled"}).Draw(t, "mode")
				a.report(all[i], all[preferred(i)], mode)
			},
			"other parent": func(t *rapid.T) {
				i := rapid.IntRange(1, len(all)-1).Draw(t, "child")
				p := rapid.IntRange(0, i-1).Draw(t, "parent")
				a.report(all[i], all[preferred(i)], "")
				a.report(all[i], all[p], rapid.SampledFrom([]string{"", "doubled"}).Draw(t, "mode"))
			},
			"late": func(t *rapid.T) {
				i := rapid.IntRange(1, len(all)-1).Draw(t, "child")
				a.repeat(all[i], rapid.IntRange(0, 5).Draw(t, "back"))
			},
		})
		a.quiesce(all)
		for _, name := range all {
			for team, n := range want {
				if got := a.fleets[name].Counter(team); got != n {
					t.Fatalf("%s counts %d for %s, charged %d", name, got, team, n)
				}
			}
		}
	})
}

// TestLeadStaysBounded checks that agents which lose each other, restart and lead by turns agree in the end,
// that versions do not fall within a run, and that no waiting team leads by more than the bound.
func TestLeadStaysBounded(t *testing.T) {
	const lead = 500
	teams := []string{"a", "b", "c"}
	rapid.Check(t, func(t *rapid.T) {
		a := newAgents(lead)
		all := names()
		for _, name := range all {
			a.start(name)
			a.fleets[name].SetWaiting(teams)
		}
		versions := make(map[string]int64)
		t.Repeat(map[string]func(*rapid.T){
			"charge": func(t *rapid.T) {
				name := rapid.SampledFrom(all).Draw(t, "agent")
				a.fleets[name].Charge(rapid.SampledFrom(teams).Draw(t, "team"), rapid.Int64Range(0, 2000).Draw(t, "units"))
			},
			"report": func(t *rapid.T) {
				i := rapid.IntRange(1, len(all)-1).Draw(t, "child")
				p := rapid.IntRange(0, i-1).Draw(t, "parent")
				a.report(all[i], all[p], rapid.SampledFrom([]string{"", "lost", "reply_lost", "doubled"}).Draw(t, "mode"))
			},
			"lead": func(t *rapid.T) {
				a.fleets[rapid.SampledFrom(all).Draw(t, "agent")].BecomeRoot()
			},
			"restart": func(t *rapid.T) {
				name := rapid.SampledFrom(all).Draw(t, "agent")
				a.start(name)
				a.fleets[name].SetWaiting(teams)
				delete(versions, name)
			},
			"": func(t *rapid.T) {
				for _, name := range all {
					if v := a.fleets[name].Version(); v < versions[name] {
						t.Fatalf("version of %s fell from %d to %d", name, versions[name], v)
					}
					versions[name] = a.fleets[name].Version()
				}
			},
		})
		a.fleets[all[0]].BecomeRoot()
		for _, name := range all {
			a.fleets[name].SetWaiting(teams)
		}
		a.quiesce(all)
		first := a.counters(all[0], teams)
		for _, name := range all[1:] {
			if got := a.counters(name, teams); !slices.Equal(got, first) {
				t.Fatalf("%s counts %v, the root %v", name, got, first)
			}
		}
		if got := slices.Max(first) - slices.Min(first); got > lead {
			t.Fatalf("a team leads by %d, bound %d", got, lead)
		}
	})
}

func (a *agents) counters(name string, teams []string) []int64 {
	var out []int64
	for _, t := range teams {
		out = append(out, a.fleets[name].Counter(t))
	}
	return out
}

// TestParentsHaveNoLoops checks that every possible parent stands before its child and that the tree is as
// wide as it may be.
func TestParentsHaveNoLoops(t *testing.T) {
	ranks := make([]string, 100)
	for i := range ranks {
		ranks[i] = fmt.Sprint(i)
	}
	children := make(map[string]int)
	for i, name := range ranks {
		parents := share.ParentsOf(ranks, name)
		if len(parents) != i {
			t.Fatalf("agent %d has %d possible parents", i, len(parents))
		}
		for _, p := range parents {
			if slices.Index(ranks, p) >= i {
				t.Fatalf("agent %d may report to %s", i, p)
			}
		}
		if i > 0 {
			children[parents[0]]++
		}
	}
	for name, n := range children {
		if n > share.FanOut {
			t.Fatalf("agent %s has %d children", name, n)
		}
	}
}
