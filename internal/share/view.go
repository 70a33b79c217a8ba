package share

import (
	"maps"
	"slices"
)

// view is one version of the fleet-wide counters of all teams. The root writes it; other agents hold a copy.
type view struct {
	// root names the agent that wrote the view and its incarnation. Versions are comparable only under one root.
	root string
	// version only increases; 0 means that there is no view yet.
	version int64
	teams   map[string]teamView
	// dirty is set while the view has changes that are not published as a version.
	dirty bool
}

type teamView struct {
	// counter is in service units times scale.
	counter int64
	waiting bool
	// changed is the version of the last change.
	changed int64
}

func newView() view {
	return view{teams: make(map[string]teamView)}
}

func (v *view) set(team string, s teamView) {
	s.changed = v.version + 1
	v.teams[team] = s
	v.dirty = true
}

func (v *view) add(team string, weighted int64) {
	s := v.teams[team]
	s.counter += weighted
	v.set(team, s)
}

// publish increases the version if something changed.
func (v *view) publish() {
	if v.dirty {
		v.version++
		v.dirty = false
	}
}

// republish publishes a version above seen that marks every team as changed.
func (v *view) republish(seen int64) {
	v.version = max(v.version, seen)
	for t, s := range v.teams {
		v.set(t, s)
	}
	v.dirty = true
	v.publish()
}

// setWaiting replaces the set of waiting teams. The counter of a team that starts to wait is raised to the least
// counter of the teams that waited before, so that it gets no service for the time in which it had no demand.
func (v *view) setWaiting(waiting map[string]bool) {
	least, found := v.minWaitingCounter()
	for t := range waiting {
		s := v.teams[t]
		if s.waiting {
			continue
		}
		s.waiting = true
		if found {
			s.counter = max(s.counter, least)
		}
		v.set(t, s)
	}
	for t, s := range v.teams {
		if s.waiting && !waiting[t] {
			s.waiting = false
			v.set(t, s)
		}
	}
}

// capLead lowers the counters of waiting teams that are more than lead above the lowest one.
func (v *view) capLead(lead int64) {
	least, _ := v.minWaitingCounter()
	for t, s := range v.teams {
		if s.waiting && s.counter > least+lead {
			s.counter = least + lead
			v.set(t, s)
		}
	}
}

// maxLead returns the difference between the largest and the lowest counter of the waiting teams.
func (v *view) maxLead() int64 {
	least, found := v.minWaitingCounter()
	lead := int64(0)
	for _, s := range v.teams {
		if found && s.waiting {
			lead = max(lead, s.counter-least)
		}
	}
	return lead
}

// minWaitingCounter returns the lowest counter of the waiting teams, and false if no team waits.
func (v *view) minWaitingCounter() (int64, bool) {
	least, found := int64(0), false
	for _, s := range v.teams {
		if s.waiting && (!found || s.counter < least) {
			least, found = s.counter, true
		}
	}
	return least, found
}

// since returns the values that changed after version, sorted by team.
func (v *view) since(version int64) []Value {
	var out []Value
	for _, t := range slices.Sorted(maps.Keys(v.teams)) {
		if s := v.teams[t]; s.changed > version {
			out = append(out, Value{Team: t, Counter: s.counter, Waiting: s.waiting})
		}
	}
	return out
}
