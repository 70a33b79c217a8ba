package router

import (
	"github.com/laburnumring/laburnumring/internal/event"
	"github.com/laburnumring/laburnumring/internal/suspect"
	"github.com/laburnumring/laburnumring/pkg/clock"
)

// learn takes over what the agent of the named server says of requests, and passes news on to the others.
func (r *Router) learn(server string, entries []suspect.Entry) {
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
		r.spread(now, e, server)
		r.do(r.dispatch.SuspectsChanged(now, e.Fingerprint))
	}
	r.metrics.suspects.Set(float64(r.suspects.SuspectCount()))
}

// spread tells all agents but one of an entry; callers hold mu.
func (r *Router) spread(now clock.Millis, e suspect.Entry, but string) {
	for name, l := range r.links {
		if name != but {
			l.tell(now, e)
		}
	}
}

// tell puts an entry into the outbox; callers hold the router's mu.
func (l *link) tell(now clock.Millis, e suspect.Entry) {
	e, ok := l.r.suspects.Entry(now, e.Fingerprint)
	if !ok || !l.open {
		return
	}
	l.outbox.Suspects = append(l.outbox.Suspects, e)
	l.signal()
}
