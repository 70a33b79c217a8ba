package router

import (
	"github.com/laburnumring/laburnumring/internal/event"
	"github.com/laburnumring/laburnumring/internal/suspect"
	"github.com/laburnumring/laburnumring/pkg/clock"
)

// mergeSuspects merges entries from the agent of the named server and forwards those that were new to the other
// agents. An empty name stands for no agent.
func (r *Router) mergeSuspects(server string, entries []suspect.Entry) {
	if len(entries) == 0 {
		return
	}
	now := r.o.Clock.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, e := range entries {
		if !r.suspects.Merge(now, e) {
			continue
		}
		if e.Kind == suspect.Confirmed {
			r.o.Logger.Log(event.PoisonRefused, "fingerprint", e.Fingerprint, "remaining_ms", int64(e.Remaining))
		}
		r.broadcastSuspect(now, e, server)
		r.execute(r.dispatch.SuspectsChanged(now, e.Fingerprint))
	}
	r.metrics.suspects.Set(float64(r.suspects.SuspectCount()))
}

// broadcastSuspect sends an entry to the agents of all servers but one. It must be called with mu held.
func (r *Router) broadcastSuspect(now clock.Millis, e suspect.Entry, except string) {
	for name, l := range r.links {
		if name != except {
			l.sendSuspect(now, e)
		}
	}
}

// sendSuspect adds the current entry for e's fingerprint to the outbox. It must be called with the router's mu
// held.
func (l *link) sendSuspect(now clock.Millis, e suspect.Entry) {
	e, ok := l.r.suspects.Entry(now, e.Fingerprint)
	if !ok || !l.sessionOpen {
		return
	}
	l.outbox.Suspects = append(l.outbox.Suspects, e)
	l.wakeSender()
}
