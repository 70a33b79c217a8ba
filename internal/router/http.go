package router

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/google/uuid"
	"github.com/gorilla/mux"

	"github.com/laburnumring/laburnumring/internal/caller"
	"github.com/laburnumring/laburnumring/internal/dispatch"
	"github.com/laburnumring/laburnumring/internal/httpserve"
	"github.com/laburnumring/laburnumring/internal/refusal"
	"github.com/laburnumring/laburnumring/internal/transcript"
	"github.com/laburnumring/laburnumring/pkg/clock"
	"github.com/laburnumring/laburnumring/pkg/header"
	"github.com/laburnumring/laburnumring/pkg/outcome"
	"github.com/laburnumring/laburnumring/pkg/service"
	"github.com/laburnumring/laburnumring/pkg/site"
	"github.com/laburnumring/laburnumring/pkg/team"
)

// Limits of callers' requests.
const (
	maxBody         = 8 << 20
	maxDeadline     = 10 * clock.Minute
	defaultDeadline = 1 * clock.Minute
	maxKeyLength    = 256
	minCost         = 1
	maxCost         = 1 << 30
	// answerGrace is how long after a request's deadline its answer may still be written.
	answerGrace = 10 * clock.Second
	// badRequestRetryAfter is the Retry-After of an invalid request. A retry cannot succeed until the caller or
	// the configuration has been corrected.
	badRequestRetryAfter = 1 * clock.Minute
)

// Handler returns the handler of the interface for callers.
func (r *Router) Handler() http.Handler {
	m := mux.NewRouter()
	m.HandleFunc("/healthz", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	m.HandleFunc("/readyz", r.serveReady)
	if !r.o.HideMetrics {
		m.Handle("/metrics", r.metricsHandler())
	}
	m.HandleFunc("/v1/services/{service}", r.serveCaller)
	m.HandleFunc("/v1/services/{service}/{path:.*}", r.serveCaller)
	return httpserve.Guard{MaxBody: maxBody, BodyTimeout: r.o.BodyTimeout, Refusals: r.o.Refusals}.Wrap(m)
}

func (r *Router) serveReady(w http.ResponseWriter, _ *http.Request) {
	if !r.ready() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

func (r *Router) serveCaller(w http.ResponseWriter, req *http.Request) {
	if !r.beginRequest() {
		refuseDuringShutdown(w)
		return
	}
	defer r.endRequest()
	now := r.o.Clock.Now()
	c, err := r.parseRequest(now, w, req)
	defer r.releaseBody(c)
	if err != nil {
		var bad *badRequestError
		if errors.As(err, &bad) {
			writeBadRequest(w, bad)
		}
		return
	}
	// Without a write deadline, a caller that stops reading would block its handler for ever.
	_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add((c.request.Deadline - now + answerGrace).Duration()))
	f := r.submit(now, c)
	if f.Outcome == "" {
		f = r.runAttempts(req.Context(), c)
	}
	r.removeCall(c)
	if f.Outcome == outcome.Whole && c.unmarked {
		f.Outcome = outcome.Unmarked
	}
	r.metrics.observeRequest(c.request.Service, c.request.Team, f.Outcome, r.o.Clock.Now()-now)
	c.finish(req.Context(), f, r.o.Logger)
}

// submit passes a request to the dispatch controller. If the request is refused, submit returns its end;
// otherwise the returned Finish is empty.
func (r *Router) submit(now clock.Millis, c *call) dispatch.Finish {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.stopping {
		return dispatch.Finish{Outcome: outcome.NotRun, Reason: "stopping", RetryAfter: stoppingRetryAfter}
	}
	r.calls[c.id] = c
	actions, err := r.dispatch.Submit(now, c.request)
	var refused *dispatch.NotRunError
	if errors.As(err, &refused) {
		return notRunFinish(refused.Reason, refused)
	}
	r.execute(actions)
	if r.dispatch.Len() == 1 {
		select {
		case r.wakeTick <- struct{}{}:
		default:
		}
	}
	return dispatch.Finish{}
}

// releaseBody releases the memory reserved for a request's body; c may be nil.
func (r *Router) releaseBody(c *call) {
	if c == nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.bodyQuota.release(c.request.Team, c.reservedBytes)
}

func (r *Router) removeCall(c *call) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.calls, c.id)
}

// parseRequest reads a caller's request and its body. Its errors are of type *badRequestError.
func (r *Router) parseRequest(now clock.Millis, w http.ResponseWriter, req *http.Request) (*call, error) {
	r.mu.Lock()
	st := r.board.Site()
	r.lastRequestNumber++
	id := fmt.Sprintf("%s.%d", r.id, r.lastRequestNumber)
	r.mu.Unlock()
	if st == nil {
		return nil, &badRequestError{http.StatusServiceUnavailable, "no_configuration", "no configuration is held yet"}
	}
	t, err := r.authenticate(st, req)
	if err != nil {
		return nil, err
	}
	v := mux.Vars(req)
	s, ok := st.Service(v["service"])
	if !ok {
		return nil, &badRequestError{http.StatusNotFound, "service_unknown", "the path names no service of this site"}
	}
	c := &call{
		id:          id,
		w:           w,
		framed:      httpserve.Framed(req, w.Header()),
		method:      req.Method,
		path:        "/" + v["path"],
		contentType: req.Header.Get("Content-Type"),
		events:      make(chan dispatch.Action, 2),
		plain:       s.Kind() == service.Plain,
		transcript:  transcript.New(),

		resumesExactly: s.ResumesExactly(),
	}
	c.request = dispatch.Request{ID: id, Team: t.Name(), Service: s.Name(), Repeatable: s.Retry().Repeatable()}
	if err := c.readHeaders(now, req); err != nil {
		return nil, err
	}
	return c, r.bufferBody(c, req)
}

// authenticate returns the team of the caller. Its errors are of type *badRequestError.
func (r *Router) authenticate(st *site.Site, req *http.Request) (team.Team, error) {
	t, err := r.authenticator.Team(st, req)
	var authErr *caller.Error
	if !errors.As(err, &authErr) {
		return t, nil
	}
	r.o.Refusals.Record(refusal.Credentials, req.RemoteAddr, authErr)
	status := http.StatusUnauthorized
	if authErr.Forbidden {
		status = http.StatusForbidden
	}
	return t, &badRequestError{status, authErr.Reason, authErr.Detail}
}

func (c *call) readHeaders(now clock.Millis, req *http.Request) error {
	deadline, err := intHeader(req, header.Deadline, int64(defaultDeadline), 1, int64(maxDeadline))
	if err != nil {
		return err
	}
	c.request.Deadline = now + clock.Millis(deadline)
	if c.request.Cost, err = intHeader(req, header.CostHint, minCost, minCost, maxCost); err != nil {
		return err
	}
	if v := req.Header.Get(header.Repeatable); v != "" {
		if c.request.Repeatable, err = strconv.ParseBool(v); err != nil {
			return badHeaderError(header.Repeatable, "true or false")
		}
	}
	return c.readKey(req)
}

func (c *call) readKey(req *http.Request) error {
	key := req.Header.Get(header.IdempotencyKey)
	if key == "" {
		return nil
	}
	if len(key) > maxKeyLength {
		return badHeaderError(header.IdempotencyKey, "at most 256 bytes")
	}
	c.key = c.request.Service + "/" + c.request.Team + "/" + key
	c.request.Keyed = true
	c.request.Repeatable = false
	if id, err := uuid.Parse(key); err == nil && id.Version() == 7 {
		sec, nsec := id.Time().UnixTime()
		c.keyTime = sec*1000 + nsec/1_000_000
		return nil
	}
	t, err := intHeader(req, header.KeyTime, 0, 1, 1<<60)
	if err != nil {
		return err
	}
	if t == 0 {
		return badHeaderError(header.KeyTime, "the Unix time in milliseconds at which the key was made")
	}
	c.keyTime = t
	return nil
}

func (c *call) readBody(req *http.Request) error {
	body, err := io.ReadAll(req.Body)
	if err != nil {
		var tooLong *http.MaxBytesError
		if errors.As(err, &tooLong) {
			return &badRequestError{http.StatusRequestEntityTooLarge, "body_too_long", "at most 8 MiB"}
		}
		var full *badRequestError
		if errors.As(err, &full) {
			return full
		}
		if errors.Is(err, os.ErrDeadlineExceeded) {
			return &badRequestError{http.StatusRequestTimeout, "body_slow", "the body did not arrive in time"}
		}
		return &badRequestError{http.StatusBadRequest, "body_cut", "the body did not arrive whole"}
	}
	c.body = body
	h := xxhash.New()
	_, _ = h.WriteString(c.request.Service + " " + c.method + " " + c.path + "\n")
	_, _ = h.Write(body)
	c.request.Fingerprint = h.Sum64()
	return nil
}

// intHeader returns the value of an integer header, or def when the header is absent. Values outside low to high
// are errors of type *badRequestError.
func intHeader(req *http.Request, name string, def, low, high int64) (int64, error) {
	v := req.Header.Get(name)
	if v == "" {
		return def, nil
	}
	n, err := strconv.ParseInt(v, 10, 64)
	if err != nil || n < low || n > high {
		return 0, badHeaderError(name, fmt.Sprintf("a whole number from %d to %d", low, high))
	}
	return n, nil
}

func badHeaderError(name, allowed string) error {
	return &badRequestError{http.StatusBadRequest, "bad_header", name + " takes " + allowed}
}

func writeBadRequest(w http.ResponseWriter, e *badRequestError) {
	w.Header().Set(header.Outcome, string(outcome.NotRun))
	w.Header().Set(header.Reason, e.Reason)
	if e.Status == http.StatusUnauthorized {
		w.Header().Set("WWW-Authenticate", "Bearer")
	}
	after := badRequestRetryAfter
	if e.Status == http.StatusServiceUnavailable || e.Status == http.StatusTooManyRequests {
		after = clock.Second
	}
	setRetryAfter(w, after)
	writeRefusal(w, e.Status, refusalBody{
		Outcome: outcome.NotRun, Reason: e.Reason, Detail: e.Detail, RetryAfterMs: after,
	})
}
