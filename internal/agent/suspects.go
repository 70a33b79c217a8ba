package agent

import (
	"context"

	"github.com/laburnumring/laburnumring/internal/answer"
	"github.com/laburnumring/laburnumring/internal/event"
	"github.com/laburnumring/laburnumring/internal/peer"
	"github.com/laburnumring/laburnumring/internal/suspect"
	"github.com/laburnumring/laburnumring/pkg/clock"
	"github.com/laburnumring/laburnumring/pkg/outcome"
)

// looksDead probes the backend server after a run broke off. One broken connection alone is no death.
func (a *Agent) looksDead() bool {
	ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
	defer cancel()
	return a.o.Backend.Probe(ctx) != nil
}

// blame notes what the end of a run says about its request; callers hold mu.
func (a *Agent) blame(now clock.Millis, m peer.StartMessage, end *answer.End) {
	switch {
	case end.Reason == reasonServerDied:
		e := a.suspects.Died(now, m.Start.Fingerprint, a.admission.Isolated(m.Start.Offer))
		end.Suspect = &e
		a.o.Logger.Log(event.RequestSuspected, "request", m.Start.Request, "team", m.Start.Team,
			"confirmed", e.Kind == suspect.Confirmed)
		a.spread(now, e, "")
	case end.Outcome == outcome.Whole:
		if e, ok := a.suspects.Finished(now, m.Start.Fingerprint); ok {
			a.spread(now, e, "")
		}
	}
}

// learn takes over what a router says of a request and passes news on; callers hold mu.
func (a *Agent) learn(now clock.Millis, router string, entries []suspect.Entry) {
	for _, e := range entries {
		if a.suspects.Merge(now, e) {
			a.spread(now, e, router)
		}
	}
}

// spread tells all routers but one of an entry; callers hold mu.
func (a *Agent) spread(now clock.Millis, e suspect.Entry, but string) {
	a.admission.SuspectsChanged(now)
	for name, s := range a.sessions {
		if name != but {
			s.suspects = append(s.suspects, e.Fingerprint)
			s.notify()
		}
	}
}

// news takes the entries that a router has not heard of; callers hold mu.
func (a *Agent) news(now clock.Millis, s *session) []suspect.Entry {
	var out []suspect.Entry
	for _, f := range s.suspects {
		if e, ok := a.suspects.Entry(now, f); ok {
			out = append(out, e)
		}
	}
	s.suspects = nil
	return out
}

// remind tells a router again of a poison request whose ticket it left; callers hold mu.
func (a *Agent) remind(now clock.Millis, s *session, fingerprint uint64) {
	if a.suspects.Kind(now, fingerprint) == suspect.Confirmed {
		s.suspects = append(s.suspects, fingerprint)
		s.notify()
	}
}
