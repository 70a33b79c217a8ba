package share

import (
	"maps"
	"slices"
)

// view is the fleet-wide state of all teams in one version.
type view struct {
	// root names the agent that wrote the view, with its incarnation; versions of one root are comparable.
	root string
	// version only grows; 0 means that there is no view yet.
	version int64
	teams   map[string]teamView
	// touched says that something changed since the version was published.
	touched bool
}

type teamView struct {
	// counter is in service units times scale.
	counter int64
	waiting bool
	// changed is the version that brought the last change.
	changed int64
}

func newView() view {
	return view{teams: make(map[string]teamView)}
}

func (v *view) set(team string, s teamView) {
	s.changed = v.version + 1
	v.teams[team] = s
	v.touched = true
}

func (v *view) add(team string, weighted int64) {
	s := v.teams[team]
	s.counter += weighted
	v.set(team, s)
}

// publish begins a new version when something changed.
func (v *view) publish() {
	if v.touched {
		v.version++
		v.touched = false
	}
}

// restart begins a version above seen in which everything counts as changed.
func (v *view) restart(seen int64) {
	v.version = max(v.version, seen)
	for t, s := range v.teams {
		v.set(t, s)
	}
	v.touched = true
	v.publish()
}

// setWaiting marks the waiting teams. One that begins to wait is lifted to the least that waited before, so
// that it cannot spend service that it did not ask for.
func (v *view) setWaiting(waiting map[string]bool) {
	least, found := v.least()
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

// bound lowers the counters of waiting teams that lead the least one by more than lead.
func (v *view) bound(lead int64) {
	least, _ := v.least()
	for t, s := range v.teams {
		if s.waiting && s.counter > least+lead {
			s.counter = least + lead
			v.set(t, s)
		}
	}
}

// lead returns by how much the first waiting team leads the last one.
func (v *view) lead() int64 {
	least, found := v.least()
	lead := int64(0)
	for _, s := range v.teams {
		if found && s.waiting {
			lead = max(lead, s.counter-least)
		}
	}
	return lead
}

func (v *view) least() (int64, bool) {
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
