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

// probeFails probes the backend server and reports whether the probe failed. A lost connection alone does not prove
// that the server crashed.
func (a *Agent) probeFails() bool {
	ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
	defer cancel()
	return a.o.Backend.Probe(ctx) != nil
}

// updateSuspects records what the end of a run shows about its request: the request is suspected when the server
// crashed during the run, and cleared when the run completed. In the first case it also puts the entry into end, for
// the router of the request. a.mu must be held.
func (a *Agent) updateSuspects(now clock.Millis, m peer.StartMessage, end *answer.End) {
	switch {
	case end.Reason == reasonServerDied:
		e := a.suspects.RecordCrash(now, m.Start.Fingerprint, a.admission.Isolated(m.Start.Offer))
		end.Suspect = &e
		a.o.Logger.Log(event.RequestSuspected, "request", m.Start.Request, "team", m.Start.Team,
			"confirmed", e.Kind == suspect.Confirmed)
		a.broadcastSuspect(now, e, "")
	case end.Outcome == outcome.Whole:
		if e, ok := a.suspects.RecordCompletion(now, m.Start.Fingerprint); ok {
			a.broadcastSuspect(now, e, "")
		}
	}
}

// mergeSuspects merges a router's entries and sends those that changed something to the other routers. a.mu must be
// held.
func (a *Agent) mergeSuspects(now clock.Millis, router string, entries []suspect.Entry) {
	for _, e := range entries {
		if a.suspects.Merge(now, e) {
			a.broadcastSuspect(now, e, router)
		}
	}
}

// broadcastSuspect drops tickets that the entry forbids and queues the entry for all routers except one. a.mu must
// be held.
func (a *Agent) broadcastSuspect(now clock.Millis, e suspect.Entry, except string) {
	a.admission.SuspectsChanged(now)
	for name, s := range a.sessions {
		if name != except {
			s.pendingSuspects = append(s.pendingSuspects, e.Fingerprint)
			s.notify()
		}
	}
}

// suspectUpdates returns the entries queued for a router and empties the queue. a.mu must be held.
func (a *Agent) suspectUpdates(now clock.Millis, s *session) []suspect.Entry {
	var out []suspect.Entry
	for _, f := range s.pendingSuspects {
		if e, ok := a.suspects.Entry(now, f); ok {
			out = append(out, e)
		}
	}
	s.pendingSuspects = nil
	return out
}

// resendConfirmed queues the entry of a request for a router that left a ticket for it, if the entry is confirmed.
// a.mu must be held.
func (a *Agent) resendConfirmed(now clock.Millis, s *session, fingerprint uint64) {
	if a.suspects.Kind(now, fingerprint) == suspect.Confirmed {
		s.pendingSuspects = append(s.pendingSuspects, fingerprint)
		s.notify()
	}
}
