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

// launch runs a started request in a goroutine of its own and returns the run, which counts one stream that
// delivers its answer; callers hold mu.
func (a *Agent) launch(m peer.StartMessage) *startedRun {
	s := &startedRun{run: run.New(run.Options{From: m.Start.ResumeFrom}), router: m.Start.Router, readers: 1}
	a.started[m.Start.Offer] = s
	a.running[m.Start.Offer] = s
	ctx, cancel := a.runContext(m)
	if a.o.Kind == service.Model && m.Start.Repeatable {
		s.cancel = cancel
	}
	unblock := context.AfterFunc(ctx, s.run.Stop)
	a.runs.Go(func() {
		defer cancel()
		defer unblock()
		err := a.o.Backend.Run(ctx, backendRequest(m), s.run)
		end := endOf(err, ctx.Err())
		if end.Reason == reasonBrokeOff && a.looksDead() {
			end.Reason = reasonServerDied
		}
		if end.Reason == reasonServerDied || end.Reason == reasonUnreachable {
			a.setServerUp(false)
		}
		a.finish(m, s, end, err)
	})
	return s
}

// runContext ends a model engine's run at the request's deadline; a plain service's call is never cut.
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
	a.blame(now, m, &end)
	s.run.End(end)
	s.endedAt = now
	a.keep(m.Start.Offer, s)
	a.admission.End(now, m.Start.Offer, s.run.Units())
	a.limit.Ended(m.Start.Offer)
	if end.Outcome == outcome.NotRun {
		a.releaseClaim(m)
	}
	team := a.metrics.teams.Value(m.Start.Team)
	a.served[team] += s.run.Units()
	a.metrics.ended(a.o.Server.Service(), team, end.Outcome, s.run.Units())
	if end.Reason == reasonServerDied {
		a.o.Logger.Log(event.ServerDied, "request", m.Start.Request, "error", err)
	}
	a.fill(now)
	a.wakeIdle()
}

// Reasons of runs that the backend server did not end.
const (
	// reasonBrokeOff means that the connection broke while the request ran.
	reasonBrokeOff = "server_broke_off"
	// reasonServerDied means that the server does not answer any more either.
	reasonServerDied = "server_died"
	// reasonUnreachable means that no connection was made.
	reasonUnreachable = "server_unreachable"
)

// endOf names the outcome of a run that ended with err under a context that was cancelled with cancelled.
func endOf(err, cancelled error) answer.End {
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
	var died *backend.DiedError
	if errors.As(err, &died) && died.NeverSent {
		return answer.End{Outcome: outcome.NotRun, Reason: reasonUnreachable}
	}
	return answer.End{Outcome: outcome.Unknown, Reason: reasonBrokeOff}
}
