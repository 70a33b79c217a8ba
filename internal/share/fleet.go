package share

import (
	"fmt"
	"maps"

	"github.com/laburnumring/laburnumring"
	"github.com/laburnumring/laburnumring/pkg/clock"
)

// Options are the settings of a Fleet.
type Options struct {
	// Name is the agent's server and Incarnation its current run.
	Name        string
	Incarnation string
	// Weight returns a team's weight, at least 1.
	Weight func(team string) int64
	// Lead is the most weighted service units by which a waiting team's counter may stand above the least one.
	// An eighth of it bounds the lead in what this agent alone has served.
	Lead int64
	// Silence is how long a child may be silent before its waiting work is forgotten.
	Silence clock.Millis
	// Broken is told of broken invariants.
	Broken func(what string)
}

// localLeadDivisor is how much smaller the bound on an agent's own counters is.
const localLeadDivisor = 8

// Defaults of Options.
const (
	defaultLead    = 1 << 12
	defaultSilence = 2 * clock.Second
	// maxSnapshots is the most reports that wait to be reflected.
	maxSnapshots = 64
	// maxRetired is the most earlier incarnations of a child that are remembered.
	maxRetired = 8
)

// Fleet orders teams by the service received from all agents of a service. Agents form a tree: each reports
// the totals of its subtree to its parent, and the root hands the fleet-wide counters down. Between two views
// the agents would all turn to the same team, so each evens out by itself what it serves and takes on only its
// part of a difference in the fleet. It is used by one goroutine at a time.
type Fleet struct {
	o Options
	// local holds what this agent alone has served.
	local *Local
	// agents is how many agents share the differences in the fleet; at least 1.
	agents int64
	// totals holds the subtree's weighted service since this agent started, in units times scale.
	totals map[string]int64
	// waitingHere holds the teams that have waited at this agent since the last SetWaiting.
	waitingHere map[string]bool
	// children holds the agents that have reported to this one.
	children map[string]*child
	// view is the fleet-wide state as this agent knows it.
	view view
	// isRoot says that view is this agent's to write and always holds all of totals.
	isRoot bool
	// blank says that no parent has shown a view since this agent started, and no child holds a view of its.
	blank bool
	// adopted names the root whose view this agent took over from a child; empty otherwise.
	adopted string
	// seen is the highest version heard of; at least that of view.
	seen int64
	// reflected holds the totals that view includes; unused at the root.
	reflected map[string]int64

	// parent names the agent to which reports go and parentRun its incarnation; empty until it answers.
	parent    string
	parentRun string
	// tenure and seq only grow.
	tenure int64
	seq    int64
	// showView says that the parent needs the view.
	showView bool
	// acknowledged holds what parents have counted.
	acknowledged map[string]standing
	// opened says that the parent has counted a report of this tenure.
	opened bool
	// met holds the teams whose totals the parent remembers.
	met map[string]bool
	// unsettled holds the teams of reports that a parent may or may not have counted.
	unsettled map[string]bool
	// led holds the totals at the end of this agent's time as root, until a parent has counted a report.
	led map[string]int64
	// sent holds reports that no view includes yet, oldest first.
	sent []snapshot
}

// standing is what a parent knows of a team in a child's subtree.
type standing struct {
	total   int64
	waiting bool
}

// snapshot is the state at the time of a report.
type snapshot struct {
	seq    int64
	tenure int64
	totals map[string]int64
	// standings holds what the report's entries said.
	standings map[string]standing
	// children holds each child's last counted report.
	children map[string]int64
}

// child is what an agent remembers of one that reports to it.
type child struct {
	incarnation string
	tenure      int64
	// counted is the last report that was counted; it only grows within an incarnation.
	counted int64
	// reflected is the last report that the view includes; at most counted.
	reflected int64
	// teams holds the last counted standing of each team.
	teams map[string]standing
	seen  clock.Millis
	// silent says that seen is long ago; the child's waiting work does not count meanwhile.
	silent bool
	// retired holds earlier incarnations, oldest first.
	retired []string
}

var _ laburnumring.TeamOrder = (*Fleet)(nil)

// NewFleet returns an order without history.
func NewFleet(o Options) *Fleet {
	if o.Lead == 0 {
		o.Lead = defaultLead
	}
	if o.Silence == 0 {
		o.Silence = defaultSilence
	}
	if o.Broken == nil {
		o.Broken = func(what string) { panic(what) }
	}
	return &Fleet{
		o:            o,
		blank:        true,
		local:        NewLocal(o.Weight),
		agents:       1,
		totals:       make(map[string]int64),
		waitingHere:  make(map[string]bool),
		children:     make(map[string]*child),
		view:         newView(),
		reflected:    make(map[string]int64),
		acknowledged: make(map[string]standing),
		unsettled:    make(map[string]bool),
		met:          make(map[string]bool),
	}
}

// Next implements laburnumring.TeamOrder: the team with the least weighted service, here and in the agent's
// part of the fleet. A team that the fleet believes idle stands no lower than the least waiting one.
func (f *Fleet) Next(_ clock.Millis, candidates []laburnumring.Candidate) int {
	f.local.lift(candidates)
	f.local.bound(candidates, f.o.Lead*scale/localLeadDivisor)
	least, found := f.leastWaiting()
	best, bestCounter := 0, int64(0)
	for i, c := range candidates {
		f.waitingHere[c.Team] = true
		v := f.counter(c.Team)
		if found && !f.view.teams[c.Team].waiting {
			v = max(v, least)
		}
		v = v/f.agents + f.local.counter(c.Team)
		if i == 0 || v < bestCounter {
			best, bestCounter = i, v
		}
	}
	return best
}

// Expect implements laburnumring.TeamOrder. Only service that was received is reported, so that what was
// expected wrongly never has to be taken back from a counter that was bounded meanwhile.
func (f *Fleet) Expect(team string, units int64) { f.local.Expect(team, units) }

// Charge implements laburnumring.TeamOrder.
func (f *Fleet) Charge(team string, units int64) {
	f.local.Charge(team, units)
	f.add(team, units*scale/f.o.Weight(team))
}

// SetAgents tells how many agents serve.
func (f *Fleet) SetAgents(n int) { f.agents = max(1, int64(n)) }

// SetWaiting replaces the teams that wait at this agent.
func (f *Fleet) SetWaiting(teams []string) {
	f.waitingHere = make(map[string]bool, len(teams))
	for _, t := range teams {
		f.waitingHere[t] = true
	}
}

// Counter returns a team's weighted service in the fleet, in service units, as this agent knows it.
func (f *Fleet) Counter(team string) int64 { return f.counter(team) / scale }

// IsRoot reports whether this agent keeps the fleet-wide counters.
func (f *Fleet) IsRoot() bool { return f.isRoot }

// Version returns the version of the view.
func (f *Fleet) Version() int64 { return f.view.version }

// BecomeRoot makes this agent the root. Its view goes on from the highest version that it has seen.
func (f *Fleet) BecomeRoot() {
	if f.isRoot {
		return
	}
	for t, total := range f.totals {
		f.view.add(t, total-f.reflected[t])
	}
	for _, c := range f.children {
		c.reflected = c.counted
	}
	f.isRoot = true
	f.parent = ""
	f.sent = nil
	f.view.root = f.lineage()
	f.view.restart(f.seen)
}

// lineage is the name under which this agent leads.
func (f *Fleet) lineage() string { return f.o.Name + "." + f.o.Incarnation }

// Tick lets the root bring its counters up to date.
func (f *Fleet) Tick(now clock.Millis) {
	for _, c := range f.children {
		c.silent = now-c.seen >= f.o.Silence
	}
	if f.isRoot {
		f.settle()
	}
}

// settle lifts teams that began to wait, bounds the lead of waiting ones and begins a new version.
func (f *Fleet) settle() {
	f.view.setWaiting(f.waiting())
	f.view.bound(f.o.Lead * scale)
	f.view.publish()
	if lead := f.view.lead(); lead > f.o.Lead*scale {
		f.o.Broken(fmt.Sprintf("a waiting team leads by %d, more than %d", lead/scale, f.o.Lead))
	}
}

// add counts weighted service of the subtree.
func (f *Fleet) add(team string, weighted int64) {
	if weighted == 0 {
		return
	}
	f.totals[team] += weighted
	if f.isRoot {
		f.view.add(team, weighted)
	}
}

// counter is a team's fleet-wide service with all that this agent knows of its subtree.
func (f *Fleet) counter(team string) int64 {
	v := f.view.teams[team].counter
	if f.isRoot {
		return v
	}
	return v + f.totals[team] - f.reflected[team]
}

func (f *Fleet) leastWaiting() (int64, bool) {
	least, found := int64(0), false
	for t, s := range f.view.teams {
		if !s.waiting {
			continue
		}
		if v := f.counter(t); !found || v < least {
			least, found = v, true
		}
	}
	return least, found
}

// waiting returns the teams that wait in the subtree.
func (f *Fleet) waiting() map[string]bool {
	out := maps.Clone(f.waitingHere)
	for _, c := range f.children {
		for t, s := range c.teams {
			if s.waiting && !c.silent {
				out[t] = true
			}
		}
	}
	return out
}
