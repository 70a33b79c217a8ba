package agent

import (
	"maps"
	"slices"
)

// wakeIdle asks routers in turn for work that no ticket here stands for; callers hold mu.
func (a *Agent) wakeIdle() {
	if a.admission.Free() == 0 {
		a.asking.StartRound()
		return
	}
	if a.admission.Waiting() > 0 || a.o.Policy.Pushes() {
		return
	}
	for _, name := range a.asking.Next(a.o.Clock.Now(), a.parked()) {
		a.sessions[name].notify()
	}
}

// parked returns the routers whose calls wait for offers, sorted by name; callers hold mu.
func (a *Agent) parked() []string {
	return slices.DeleteFunc(slices.Sorted(maps.Keys(a.sessions)), func(name string) bool {
		return a.sessions[name].waiting == 0
	})
}
