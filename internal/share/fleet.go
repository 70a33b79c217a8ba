package share

import (
	"fmt"
	"maps"

	"github.com/laburnumring/laburnumring"
	"github.com/laburnumring/laburnumring/pkg/clock"
)

// Options are the settings of a Fleet.
type Options struct {
	// Name is the name of the agent's server, and Incarnation identifies its current run.
	//
	Name        string
	Incarnation string
	// Weight returns a team's weight, at least 1.
	Weight func(team string) int64
	// MaxCounterLead is how far a waiting team's counter may be above the lowest counter of the waiting teams, in
	// weighted service units. An eighth of it is the limit for the counters of this agent alone.
	MaxCounterLead int64
	// ChildTimeout is how long after its last report a child's waiting teams still count as waiting.
	ChildTimeout clock.Millis
	// OnViolation is called with a description of each violated invariant. It panics when nil.
	OnViolation func(what string)
}

// localLeadDivisor is the ratio between the limit for the fleet-wide counters and that for an agent's own.
const localLeadDivisor = 8

// Defaults of Options.
const (
	defaultMaxCounterLead = 1 << 12
	defaultChildTimeout   = 2 * clock.Second
	// maxPending is the largest number of reports that are remembered until a view includes them.
	maxPending = 64
	// maxPastIncarnations is how many earlier incarnations of a child are remembered.
	maxPastIncarnations = 8
)

// Fleet orders teams by the service that they received from all agents of a service. The agents form a tree: each
// reports the totals of its subtree to its parent, and the root sends the fleet-wide counters, called the view, down
// the tree. Between two versions of the view all agents would pick the same team. Each agent therefore balances the
// service that it gives itself, and makes up only for its share of a difference between the fleet-wide counters. A
// Fleet is used by one goroutine at a time.
type Fleet struct {
	opts Options
	// local holds the service that this agent alone gave.
	local *Local
	// agentCount is the number of agents that share the work of evening out the fleet-wide counters; at least 1.
	agentCount int64
	// totals holds the subtree's weighted service since this agent started, by team, in service units times scale.
	totals map[string]int64
	// localWaiting holds the teams that waited at this agent at the last SetWaiting or since.
	localWaiting map[string]bool
	// children holds the agents that have reported to this one, by name.
	children map[string]*child
	// view holds the fleet-wide counters as this agent knows them.
	view view
	// isRoot is set while this agent is the root: it writes the view, which then always includes all of totals.
	isRoot bool
	// uninitialised is set until a parent has sent a view since this agent started, or a child has reported that it
	// holds a view written by this agent or one to take over.
	uninitialised bool
	// adoptedRoot names the root whose view this agent took over from a child; empty if it took over none.
	adoptedRoot string
	// highestVersion is the highest version of a view that this agent knows of; at least that of view.
	highestVersion int64
	// reflected holds the totals that view includes; unused at the root.
	reflected map[string]int64

	// parent is the name of the agent that receives the reports, and parentIncarnation identifies its run; the latter
	// is empty until the parent answers.
	parent            string
	parentIncarnation string
	// epoch and seq only increase.
	epoch int64
	seq   int64
	// sendView is set while the parent needs the view.
	sendView bool
	// acknowledged holds the team states that parents have applied.
	acknowledged map[string]teamTotal
	// epochAcknowledged is set once the parent has applied a report of this epoch.
	epochAcknowledged bool
	// knownToParent holds the teams whose totals the parent knows.
	knownToParent map[string]bool
	// unconfirmed holds the teams of reports that a parent may or may not have applied.
	unconfirmed map[string]bool
	// totalsAsRoot holds the totals at the end of this agent's time as root, until a parent has applied a report.
	totalsAsRoot map[string]int64
	// pending holds the reports that no received view includes yet, oldest first.
	pending []snapshot
}

// teamTotal is the state of one team in a child's subtree, as its parent knows it.
type teamTotal struct {
	total   int64
	waiting bool
}

// snapshot is the state of an agent at the time of a report.
type snapshot struct {
	seq    int64
	epoch  int64
	totals map[string]int64
	// teams holds the team states in the report's entries.
	teams map[string]teamTotal
	// children holds the sequence number of each child's last applied report.
	children map[string]int64
}

// child is what an agent knows of one of its children.
type child struct {
	incarnation string
	epoch       int64
	// lastApplied is the sequence number of the last report that was applied. It only increases within an
	// incarnation.
	lastApplied int64
	// lastReflected is the sequence number of the last report that the view includes; at most lastApplied.
	lastReflected int64
	// teams holds the last applied state of each team.
	teams        map[string]teamTotal
	lastReceived clock.Millis
	// timedOut is set while the last report is too old; the child's waiting teams do not count as waiting then.
	timedOut bool
	// pastIncarnations holds earlier incarnations, oldest first.
	pastIncarnations []string
}

var _ laburnumring.TeamOrder = (*Fleet)(nil)

// NewFleet returns an order without history.
func NewFleet(o Options) *Fleet {
	if o.MaxCounterLead == 0 {
		o.MaxCounterLead = defaultMaxCounterLead
	}
	if o.ChildTimeout == 0 {
		o.ChildTimeout = defaultChildTimeout
	}
	if o.OnViolation == nil {
		o.OnViolation = func(what string) { panic(what) }
	}
	return &Fleet{
		opts:          o,
		uninitialised: true,
		local:         NewLocal(o.Weight),
		agentCount:    1,
		totals:        make(map[string]int64),
		localWaiting:  make(map[string]bool),
		children:      make(map[string]*child),
		view:          newView(),
		reflected:     make(map[string]int64),
		acknowledged:  make(map[string]teamTotal),
		unconfirmed:   make(map[string]bool),
		knownToParent: make(map[string]bool),
	}
}

// Next implements laburnumring.TeamOrder. It picks the team with the least sum of the weighted service from this
// agent and of the agent's share of the fleet-wide counter. The counter of a team that does not wait in the view
// counts as at least the lowest counter of the waiting teams.
func (f *Fleet) Next(_ clock.Millis, candidates []laburnumring.Candidate) int {
	f.local.lift(candidates)
	f.local.capLead(candidates, f.opts.MaxCounterLead*scale/localLeadDivisor)
	least, found := f.minWaitingCounter()
	best, bestCounter := 0, int64(0)
	for i, c := range candidates {
		f.localWaiting[c.Team] = true
		v := f.counter(c.Team)
		if found && !f.view.teams[c.Team].waiting {
			v = max(v, least)
		}
		v = v/f.agentCount + f.local.counter(c.Team)
		if i == 0 || v < bestCounter {
			best, bestCounter = i, v
		}
	}
	return best
}

// Expect implements laburnumring.TeamOrder. Expected service goes only into the local counters. Reports hold only
// received service, because a wrong estimate could not be taken back from a counter that was capped in the meantime.
func (f *Fleet) Expect(team string, units int64) { f.local.Expect(team, units) }

// Charge implements laburnumring.TeamOrder.
func (f *Fleet) Charge(team string, units int64) {
	f.local.Charge(team, units)
	f.add(team, units*scale/f.opts.Weight(team))
}

// SetAgentCount sets the number of agents of the service.
func (f *Fleet) SetAgentCount(n int) { f.agentCount = max(1, int64(n)) }

// SetWaiting replaces the set of teams that wait at this agent.
func (f *Fleet) SetWaiting(teams []string) {
	f.localWaiting = make(map[string]bool, len(teams))
	for _, t := range teams {
		f.localWaiting[t] = true
	}
}

// Counter returns a team's weighted service in the fleet as this agent knows it, in service units.
func (f *Fleet) Counter(team string) int64 { return f.counter(team) / scale }

// IsRoot reports whether this agent writes the fleet-wide counters.
func (f *Fleet) IsRoot() bool { return f.isRoot }

// Version returns the version of the view.
func (f *Fleet) Version() int64 { return f.view.version }

// BecomeRoot makes this agent the root. The versions of its view continue from the highest one that it knows of.
func (f *Fleet) BecomeRoot() {
	if f.isRoot {
		return
	}
	for t, total := range f.totals {
		f.view.add(t, total-f.reflected[t])
	}
	for _, c := range f.children {
		c.lastReflected = c.lastApplied
	}
	f.isRoot = true
	f.parent = ""
	f.pending = nil
	f.view.root = f.rootID()
	f.view.republish(f.highestVersion)
}

// rootID returns the name and incarnation by which views identify this agent as their root.
func (f *Fleet) rootID() string { return f.opts.Name + "." + f.opts.Incarnation }

// Tick checks which children have timed out and, at the root, publishes the counters.
func (f *Fleet) Tick(now clock.Millis) {
	for _, c := range f.children {
		c.timedOut = now-c.lastReceived >= f.opts.ChildTimeout
	}
	if f.isRoot {
		f.updateView()
	}
}

// updateView updates the set of waiting teams, caps the counters of those that are too far above the lowest one, and
// publishes the view.
func (f *Fleet) updateView() {
	f.view.setWaiting(f.waiting())
	f.view.capLead(f.opts.MaxCounterLead * scale)
	f.view.publish()
	if lead := f.view.maxLead(); lead > f.opts.MaxCounterLead*scale {
		f.opts.OnViolation(fmt.Sprintf("a waiting team's counter is %d above the lowest, limit %d", lead/scale, f.opts.MaxCounterLead))
	}
}

// add adds weighted service of the subtree.
func (f *Fleet) add(team string, weighted int64) {
	if weighted == 0 {
		return
	}
	f.totals[team] += weighted
	if f.isRoot {
		f.view.add(team, weighted)
	}
}

// counter returns a team's fleet-wide service, including the part of its own subtree that the view does not include
// yet.
func (f *Fleet) counter(team string) int64 {
	v := f.view.teams[team].counter
	if f.isRoot {
		return v
	}
	return v + f.totals[team] - f.reflected[team]
}

// minWaitingCounter returns the lowest counter of the teams that wait in the view, and false if no team waits.
func (f *Fleet) minWaitingCounter() (int64, bool) {
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
	out := maps.Clone(f.localWaiting)
	for _, c := range f.children {
		for t, s := range c.teams {
			if s.waiting && !c.timedOut {
				out[t] = true
			}
		}
	}
	return out
}
