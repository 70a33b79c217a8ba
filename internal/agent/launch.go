package agent

import (
	"context"
	"errors"

	"github.com/laburnumring/laburnumring"
	"github.com/laburnumring/laburnumring/internal/answer"
	"github.com/laburnumring/laburnumring/internal/backend"
	"github.com/laburnumring/laburnumring/internal/event"
	"github.com/laburnumring/laburnumring/internal/peer"
	"github.com/laburnumring/laburnumring/internal/run"
	"github.com/laburnumring/laburnumring/pkg/outcome"
	"github.com/laburnumring/laburnumring/pkg/service"
)

// launch runs a started request in its own goroutine. The run that it returns already counts one reader, the
// stream that is going to deliver the answer. a.mu must be held.
func (a *Agent) launch(m peer.StartMessage) *startedRun {
	s := &startedRun{run: run.New(run.Options{From: m.Start.ResumeFrom}), router: m.Start.Router, readers: 1}
	a.started[m.Start.Offer] = s
	a.running[m.Start.Offer] = s
	ctx, cancel := a.runContext(m)
	if a.o.Kind == service.Model && m.Start.Repeatable {
		s.cancel = cancel
	}
	unregister := context.AfterFunc(ctx, s.run.Stop)
	a.runs.Go(func() {
		defer cancel()
		defer unregister()
		err := a.o.Backend.Run(ctx, backendRequest(m), s.run)
		end := classifyEnd(err, ctx.Err())
		if end.Reason == reasonBrokeOff && a.probeFails() {
			end.Reason = reasonServerDied
		}
		if end.Reason == reasonServerDied || end.Reason == reasonUnreachable {
			a.setServerUp(false)
		}
		a.finish(m, s, end, err)
	})
	return s
}

// runContext returns the context of a run. A model engine's run ends at the request's deadline; a call of a plain
// service is never cancelled.
func (a *Agent) runContext(m peer.StartMessage) (context.Context, context.CancelFunc) {
	if a.o.Kind == service.Model {
		return context.WithTimeout(context.Background(), m.Start.Remaining.Duration())
	}
	return context.WithCancel(context.Background())
}

func backendRequest(m peer.StartMessage) laburnumring.BackendRequest {
	return laburnumring.BackendRequest{
		ID:          m.Start.Request,
		Method:      m.Start.Method,
		Path:        m.Start.Path,
		ContentType: m.Start.ContentType,
		Key:         m.Start.Key,
		Body:        m.Body,
		ResumeFrom:  m.Start.ResumeFrom,
	}
}

// finish ends a run and frees its slot.
func (a *Agent) finish(m peer.StartMessage, s *startedRun, end answer.End, err error) {
	now := a.o.Clock.Now()
	a.mu.Lock()
	defer a.mu.Unlock()
	a.updateSuspects(now, m, &end)
	s.run.End(end)
	s.endedAt = now
	a.retain(m.Start.Offer, s)
	a.admission.End(now, m.Start.Offer, s.run.Units())
	a.limit.Ended(m.Start.Offer)
	if end.Outcome == outcome.NotRun {
		a.releaseClaim(m)
	}
	team := a.metrics.teams.Value(m.Start.Team)
	a.servedUnits[team] += s.run.Units()
	a.metrics.observeEnd(a.o.Server.Service(), team, end.Outcome, s.run.Units())
	if end.Reason == reasonServerDied {
		a.o.Logger.Log(event.ServerConnectionLost, "request", m.Start.Request, "error", err)
	}
	a.offerFreeSlots(now)
	a.announceFreeSlots()
}

// Reasons of runs that ended without a complete answer from the backend server.
const (
	// reasonBrokeOff means that the connection was lost while the request ran.
	reasonBrokeOff = "server_broke_off"
	// reasonServerDied means that the connection was lost and a probe afterwards failed too.
	reasonServerDied = "server_died"
	// reasonUnreachable means that no connection to the server could be opened.
	reasonUnreachable = "server_unreachable"
)

// classifyEnd returns the end of a run that returned err. The other argument is the error of the run's context,
// nil unless the run was cancelled.
func classifyEnd(err, cancelled error) answer.End {
	if err == nil {
		return answer.End{Outcome: outcome.Whole}
	}
	if cancelled != nil {
		return answer.End{Outcome: outcome.Unknown, Reason: "cancelled"}
	}
	var status *backend.StatusError
	if errors.As(err, &status) {
		return answer.End{Outcome: outcome.Failed, Reason: "server_error"}
	}
	var incomplete *backend.IncompleteError
	if errors.As(err, &incomplete) && incomplete.NeverSent {
		return answer.End{Outcome: outcome.NotRun, Reason: reasonUnreachable}
	}
	return answer.End{Outcome: outcome.Unknown, Reason: reasonBrokeOff}
}
