package agent

import (
	"errors"
	"net/http"

	"github.com/fxamacker/cbor/v2"
	"github.com/gorilla/mux"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"github.com/laburnumring/laburnumring/internal/admission"
	"github.com/laburnumring/laburnumring/internal/answer"
	"github.com/laburnumring/laburnumring/internal/event"
	"github.com/laburnumring/laburnumring/internal/httpserve"
	"github.com/laburnumring/laburnumring/internal/keys"
	"github.com/laburnumring/laburnumring/internal/peer"
	"github.com/laburnumring/laburnumring/internal/status"
	"github.com/laburnumring/laburnumring/pkg/outcome"
)

// maxMessageBytes limits the request body of a router's call.
const maxMessageBytes = 9 << 20

func (a *Agent) routes() http.Handler {
	m := mux.NewRouter()
	allow := func(h http.HandlerFunc, roles ...keys.Role) http.Handler { return a.o.Gate.Allow(h, roles...) }
	m.Handle(peer.RPCPath, allow(a.serveRPC, keys.Router, keys.Agent))
	m.Handle(peer.OperatorPath, allow(a.serveOperator, keys.Operator))
	m.Handle(peer.StartPath, allow(a.serveStart, keys.Router)).Methods(http.MethodPost)
	m.Handle(peer.ReattachPath, allow(a.serveReattach, keys.Router)).Methods(http.MethodPost)
	m.Handle(status.Path, allow(a.serveStatus, keys.Operator))
	m.HandleFunc("/healthz", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	m.Handle("/metrics", promhttp.HandlerFor(a.metrics.registry, promhttp.HandlerOpts{}))
	return httpserve.Guard{MaxBody: maxMessageBytes, Refusals: a.o.Refusals}.Wrap(m)
}

// serveStart starts the request of an offer and streams its answer.
func (a *Agent) serveStart(w http.ResponseWriter, r *http.Request) {
	var m peer.StartMessage
	if err := cbor.NewDecoder(r.Body).Decode(&m); err != nil {
		http.Error(w, "bad start message", http.StatusBadRequest)
		return
	}
	out := answer.NewWriter(w, m.Start.Request, m.Start.Attempt, m.Start.ResumeFrom)
	s, err := a.startRequest(r.Context(), m)
	if err != nil {
		_ = out.End(startRefusal(m, err))
		return
	}
	a.deliver(w, r, out, s)
}

// serveReattach streams the rest of an answer whose stream broke.
func (a *Agent) serveReattach(w http.ResponseWriter, r *http.Request) {
	var m peer.ReattachMessage
	if err := cbor.NewDecoder(r.Body).Decode(&m); err != nil {
		http.Error(w, "bad reattach message", http.StatusBadRequest)
		return
	}
	a.mu.Lock()
	s, ok := a.started[m.Offer]
	ok = ok && s.router == m.Router && s.run.Holds(m.From)
	if ok {
		s.readers++
	}
	a.mu.Unlock()
	if !ok {
		http.Error(w, "no such run", http.StatusNotFound)
		return
	}
	a.deliver(w, r, answer.NewWriter(w, m.Request, m.Attempt, m.From), s)
}

// deliver copies a run's answer to a router. The caller has already counted the stream in s.readers.
func (a *Agent) deliver(w http.ResponseWriter, r *http.Request, out *answer.Writer, s *startedRun) {
	rc := http.NewResponseController(w)
	err := s.run.Copy(r.Context(), out, rc.Flush)
	if err != nil {
		a.o.Logger.Log(event.AnswerBroken, "router", s.router, "error", err)
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	s.delivered = s.delivered || err == nil
	s.readers--
	s.idleSince = a.o.Clock.Now()
}

// refusedEnd returns the end of an attempt that the agent refused to start. It sets no time for a retry, since the
// router sets that.
func refusedEnd(err error) answer.End {
	e := answer.End{Outcome: outcome.Unknown, Reason: "refused"}
	var refused *admission.RefusedError
	if !errors.As(err, &refused) {
		return e
	}
	e.Reason = refused.Reason
	if refused.NeverStarted() {
		e.Outcome = outcome.NotRun
	}
	return e
}

// startOffer accepts and starts the request of an offer, and sends it to the backend server.
func (a *Agent) startOffer(m peer.StartMessage) (*startedRun, error) {
	now := a.o.Clock.Now()
	a.mu.Lock()
	defer a.mu.Unlock()
	if err := a.admission.Accept(now, m.Start); err != nil {
		return nil, err
	}
	if err := a.admission.Start(now, m.Start.Offer); err != nil {
		return nil, err
	}
	return a.launch(m), nil
}
