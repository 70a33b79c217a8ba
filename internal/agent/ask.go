package agent

import (
	"maps"
	"slices"
)

// announceFreeSlots notifies routers of free slots, one batch at a time, when no ticket waits here, so that routers
// with requests but no tickets at this agent can leave some. It does so by ending the waits of their Offers calls.
// While no slot is free, it prepares the next round. a.mu must be held.
func (a *Agent) announceFreeSlots() {
	if a.admission.Free() == 0 {
		a.announceTurn.StartRound()
		return
	}
	if a.admission.Waiting() > 0 || a.o.Policy.Pushes() {
		return
	}
	for _, name := range a.announceTurn.Next(a.o.Clock.Now(), a.waitingRouters()) {
		a.sessions[name].notify()
	}
}

// waitingRouters returns the routers whose Offers calls are waiting, sorted by name. a.mu must be held.
func (a *Agent) waitingRouters() []string {
	return slices.DeleteFunc(slices.Sorted(maps.Keys(a.sessions)), func(name string) bool {
		return a.sessions[name].waiting == 0
	})
}
