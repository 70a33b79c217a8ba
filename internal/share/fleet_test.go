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

// TestMain fixes the seed of rapid unless the command line sets one.
func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", "20261203")
	_ = flag.Set("rapid.nofailfile", "true")
	os.Exit(m.Run())
}

// tree holds the agents of a tree and delivers their reports and replies.
type tree struct {
	maxCounterLead int64
	now            clock.Millis
	fleets         map[string]*share.Fleet
	incarnations   map[string]int
	// sent holds all reports of each agent, in order.
	sent map[string][]sentReport
}

type sentReport struct {
	parent string
	report share.Report
}

func newTree(lead int64) *tree {
	return &tree{
		maxCounterLead: lead, fleets: make(map[string]*share.Fleet), incarnations: make(map[string]int),
		sent: make(map[string][]sentReport),
	}
}

// start starts, or restarts, an agent without state.
func (tr *tree) start(name string) {
	tr.incarnations[name]++
	tr.fleets[name] = share.NewFleet(share.Options{
		Name: name, Incarnation: fmt.Sprint(tr.incarnations[name]), MaxCounterLead: tr.maxCounterLead,
		Weight: func(team string) int64 {
			if strings.HasPrefix(team, "heavy") {
				return 4
			}
			return 1
		},
	})
}

// report delivers one report from child to parent. The mode is empty, lost, reply_lost or doubled.
func (tr *tree) report(child, parent, mode string) {
	r := tr.fleets[child].Report(parent)
	tr.sent[child] = append(tr.sent[child], sentReport{parent, r})
	if mode == "lost" {
		return
	}
	reply := tr.fleets[parent].Receive(tr.now, r)
	if mode == "doubled" {
		reply = tr.fleets[parent].Receive(tr.now, r)
	}
	if mode != "reply_lost" {
		tr.fleets[child].Acknowledge(reply)
	}
}

// redeliver delivers an earlier report of child a second time: with back 0 the last but one.
func (tr *tree) redeliver(child string, back int) {
	i := len(tr.sent[child]) - 2 - back
	if i < 0 {
		return
	}
	s := tr.sent[child][i]
	tr.fleets[s.parent].Receive(tr.now, s.report)
}

// show prints each agent's counters of the given teams.
func (tr *tree) show(teams []string) string {
	var b strings.Builder
	for _, name := range slices.Sorted(maps.Keys(tr.fleets)) {
		f := tr.fleets[name]
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

func (tr *tree) served(name string, teams []string) string {
	var c []laburnumring.Candidate
	for _, t := range teams {
		c = append(c, laburnumring.Candidate{Team: t})
	}
	return teams[tr.fleets[name].Next(tr.now, c)]
}

// TestFleetScripts runs the scripts in testdata/fleet.
func TestFleetScripts(t *testing.T) {
	datadriven.Walk(t, "testdata/fleet", func(t *testing.T, path string) {
		tr := newTree(1 << 20)
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			var out strings.Builder
			for line := range strings.Lines(d.Input) {
				tr.runCommand(t, &out, strings.Fields(line))
			}
			return out.String()
		})
	})
}

func (tr *tree) runCommand(t *testing.T, out *strings.Builder, f []string) {
	switch f[0] {
	case "lead":
		_, err := fmt.Sscan(f[1], &tr.maxCounterLead)
		if err != nil {
			t.Fatal(err)
		}
	case "start":
		for _, name := range f[1:] {
			tr.start(name)
		}
	case "root":
		tr.fleets[f[1]].BecomeRoot()
	case "charge":
		var units int64
		if _, err := fmt.Sscan(f[3], &units); err != nil {
			t.Fatal(err)
		}
		tr.fleets[f[1]].Charge(f[2], units)
	case "wait":
		tr.fleets[f[1]].SetWaiting(f[2:])
	case "report":
		tr.report(f[1], f[2], strings.Join(f[3:], ""))
	case "late":
		tr.redeliver(f[1], 0)
	case "tick":
		tr.now += 100
		tr.fleets[f[1]].Tick(tr.now)
	case "next":
		fmt.Fprintf(out, "%s serves %s\n", f[1], tr.served(f[1], f[2:]))
	case "show":
		out.WriteString(tr.show(f[1:]))
	default:
		t.Fatalf("unknown command %q", f[0])
	}
}

// treeNames returns the agents of random runs: agent-0 is the root, 1 and 2 are its children, and the others are
// theirs.
func treeNames() []string {
	out := make([]string, 7)
	for i := range out {
		out[i] = fmt.Sprintf("agent-%d", i)
	}
	return out
}

func preferredParent(i int) int { return (i - 1) / 2 }

// quiesce sends reports from the leaves to the root often enough for all agents to hold the same counters.
func (tr *tree) quiesce(all []string) {
	for range 3 * len(all) {
		for i := len(all) - 1; i > 0; i-- {
			tr.report(all[i], all[preferredParent(i)], "")
		}
		tr.fleets[all[0]].Tick(tr.now)
	}
}

// TestCountersMatchChargesDespiteMessageFaults checks that every agent's counters converge to the sum of all charges
// when reports and replies are lost, duplicated, delayed or sent to another parent.
func TestCountersMatchChargesDespiteMessageFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		tr := newTree(1 << 40)
		all := treeNames()
		for _, name := range all {
			tr.start(name)
		}
		tr.fleets[all[0]].BecomeRoot()
		want := make(map[string]int64)
		t.Repeat(map[string]func(*rapid.T){
			"charge": func(t *rapid.T) {
				team := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "team")
				units := rapid.Int64Range(-50, 200).Draw(t, "units")
				tr.fleets[rapid.SampledFrom(all).Draw(t, "agent")].Charge(team, units)
				want[team] += units
			},
			"report": func(t *rapid.T) {
				i := rapid.IntRange(1, len(all)-1).Draw(t, "child")
				mode := rapid.SampledFrom([]string{"", "lost", "reply_lost", "doubled"}).Draw(t, "mode")
				tr.report(all[i], all[preferredParent(i)], mode)
			},
			"other parent": func(t *rapid.T) {
				i := rapid.IntRange(1, len(all)-1).Draw(t, "child")
				p := rapid.IntRange(0, i-1).Draw(t, "parent")
				tr.report(all[i], all[preferredParent(i)], "")
				tr.report(all[i], all[p], rapid.SampledFrom([]string{"", "doubled"}).Draw(t, "mode"))
			},
			"late": func(t *rapid.T) {
				i := rapid.IntRange(1, len(all)-1).Draw(t, "child")
				tr.redeliver(all[i], rapid.IntRange(0, 5).Draw(t, "back"))
			},
		})
		tr.quiesce(all)
		for _, name := range all {
			for team, n := range want {
				if got := tr.fleets[name].Counter(team); got != n {
					t.Fatalf("%s counts %d for %s, charged %d", name, got, team, n)
				}
			}
		}
	})
}

// TestAgentsConvergeWithinMaxCounterLead checks agents that lose contact, restart and become root in turn: their
// counters converge, the versions of an incarnation never decrease, and the counters of waiting teams stay within the
// limit of each other.
func TestAgentsConvergeWithinMaxCounterLead(t *testing.T) {
	const lead = 500
	teams := []string{"a", "b", "c"}
	rapid.Check(t, func(t *rapid.T) {
		tr := newTree(lead)
		all := treeNames()
		for _, name := range all {
			tr.start(name)
			tr.fleets[name].SetWaiting(teams)
		}
		versions := make(map[string]int64)
		t.Repeat(map[string]func(*rapid.T){
			"charge": func(t *rapid.T) {
				name := rapid.SampledFrom(all).Draw(t, "agent")
				tr.fleets[name].Charge(rapid.SampledFrom(teams).Draw(t, "team"), rapid.Int64Range(0, 2000).Draw(t, "units"))
			},
			"report": func(t *rapid.T) {
				i := rapid.IntRange(1, len(all)-1).Draw(t, "child")
				p := rapid.IntRange(0, i-1).Draw(t, "parent")
				tr.report(all[i], all[p], rapid.SampledFrom([]string{"", "lost", "reply_lost", "doubled"}).Draw(t, "mode"))
			},
			"lead": func(t *rapid.T) {
				tr.fleets[rapid.SampledFrom(all).Draw(t, "agent")].BecomeRoot()
			},
			"restart": func(t *rapid.T) {
				name := rapid.SampledFrom(all).Draw(t, "agent")
				tr.start(name)
				tr.fleets[name].SetWaiting(teams)
				delete(versions, name)
			},
			"": func(t *rapid.T) {
				for _, name := range all {
					if v := tr.fleets[name].Version(); v < versions[name] {
						t.Fatalf("version of %s fell from %d to %d", name, versions[name], v)
					}
					versions[name] = tr.fleets[name].Version()
				}
			},
		})
		tr.fleets[all[0]].BecomeRoot()
		for _, name := range all {
			tr.fleets[name].SetWaiting(teams)
		}
		tr.quiesce(all)
		first := tr.counters(all[0], teams)
		for _, name := range all[1:] {
			if got := tr.counters(name, teams); !slices.Equal(got, first) {
				t.Fatalf("%s counts %v, the root %v", name, got, first)
			}
		}
		if got := slices.Max(first) - slices.Min(first); got > lead {
			t.Fatalf("a team's counter is %d above the lowest, limit %d", got, lead)
		}
	})
}

func (tr *tree) counters(name string, teams []string) []int64 {
	var out []int64
	for _, t := range teams {
		out = append(out, tr.fleets[name].Counter(t))
	}
	return out
}

// TestParentsHaveNoLoops checks that every possible parent ranks before its child, and that no agent is the preferred
// parent of more than FanOut children.
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
