package direct

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/laburnumring/laburnumring"
	"github.com/laburnumring/laburnumring/internal/event"
	"github.com/laburnumring/laburnumring/internal/eventstream"
	"github.com/laburnumring/laburnumring/internal/httpserve"
	"github.com/laburnumring/laburnumring/internal/ingress"
	"github.com/laburnumring/laburnumring/internal/intake"
	"github.com/laburnumring/laburnumring/pkg/clock"
	"github.com/laburnumring/laburnumring/pkg/route"
)

// call is one caller's request.
type call struct {
	w    http.ResponseWriter
	req  *http.Request
	head laburnumring.CallHeader
	// route, service and team follow from the configuration that was in force when the request was read.
	route   route.Route
	service string
	team    string
	body    ingress.Buffer
	// bodyTransfer holds the memory of the body until the request ends.
	bodyTransfer *ingress.Transfer
	// buffered is the buffered answer of the latest attempt; nil if there is none.
	buffered *answer
	// fingerprint identifies the request's content. It is the same each time that the request is sent.
	fingerprint uint64
	// parts are the hashes of the prompt's shared parts.
	parts []uint64
	// trial is set if the request tests whether a part in quarantine still crashes servers. It is sent once.
	trial bool
	// sentAt is when the latest attempt was sent.
	sentAt clock.Millis
	// arrived is when the request was read, deadline when it ends in any case.
	arrived  clock.Millis
	deadline clock.Millis
	seq      int64
	// decided receives the decision on a waiting request.
	decided chan intake.Decision
	// attempts is the number of servers that the request was sent to. tried holds their ids and those of servers that
	// could not be reached.
	attempts int
	tried    []string
	// mayHaveRun is set once a server may have run the request.
	mayHaveRun bool
	// committed is set once the answer's header has been sent to the caller. events tracks which events of a stream the
	// caller has.
	committed bool
	events    eventstream.Splitter
	// origin says which software version began the stream; its Software is 0 before the first event. takenUp is set if
	// the stream began in an earlier request whose origin is known.
	origin  laburnumring.StreamOrigin
	takenUp bool
	// framed is set if a length or chunks mark the end of the answer to the caller.
	framed bool
	// status is the answer's status, 0 before it is known. result is the result in logs and metrics.
	status int
	result string
	// framing is what marks the end of the server's answer that was forwarded last; empty before the first.
	framing string
	// resumed is set if the latest attempt asked for the rest of a stream only.
	resumed bool
	// begun is set once the latest attempt has brought a part of the answer.
	begun bool
	// begunAt is when that part arrived, begunEvents the number of events of a stream since, and brokenAt when a stream's
	// connection ended; 0 if it has not.
	begunAt     clock.Millis
	begunEvents int
	brokenAt    clock.Millis
	// firstByte is when the first bytes of the answer arrived; 0 before.
	firstByte clock.Millis
	// maxGap is the longest time between two events of a stream.
	maxGap clock.Millis
}

// Limits of callers' requests in addition to those of the configuration.
const (
	// defaultTimeout applies to routes without a timeout.
	defaultTimeout = 1 * clock.Minute
	// writeMargin is how long after a request's deadline its last bytes may still be written.
	writeMargin = 1 * time.Second
	// expectedOutputFraction is the fraction of the maximum output tokens that a request without a length hint is
	// expected to produce.
	expectedOutputFraction = 0.5
)

// Handler returns the handler of callers' requests.
func (r *Router) Handler() http.Handler { return http.HandlerFunc(r.serve) }

func (r *Router) serve(w http.ResponseWriter, req *http.Request) {
	r.inbound.Add(1)
	defer r.inbound.Add(-1)
	c := &call{w: w, req: req, seq: r.requestCount.Add(1)}
	// An earlier request on the connection may have left a deadline.
	_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(writeMargin))
	defer func() {
		c.body.Release()
		c.bodyTransfer.Release()
		c.replaceAnswer(nil)
	}()
	if !r.read(c) {
		return
	}
	ctx, cancel := context.WithDeadline(req.Context(), time.Now().Add((c.deadline - c.arrived).Duration()))
	defer cancel()
	defer context.AfterFunc(r.ending, cancel)()
	_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add((c.deadline - c.arrived).Duration() + writeMargin))
	r.run(ctx, c)
	now := r.o.Clock.Now()
	r.metrics.ended.WithLabelValues(c.service, c.team, c.result).Inc()
	if c.firstByte > 0 {
		r.metrics.observeFirstByte(c.service, c.team, c.firstByte-c.arrived)
	}
	if c.result == resultNotRun {
		return
	}
	r.o.Logger.Log(event.RequestEnded, "id", c.head.ID, "team", c.team, "route", c.route.Name(), "result", c.result,
		"status", c.status, "took_ms", int64(now-c.arrived), "first_ms", c.firstByteMs(),
		"pause_ms", int64(c.maxGap), "sends", c.attempts, "framing", c.framing)
	switch {
	case c.committed && c.result != resultComplete:
		httpserve.Abort(w, c.framed)
	case c.committed && !c.framed:
		httpserve.ResetOnExit(req.Context(), false)
	}
}

// lastEvent returns the id of the last event of the stream that the caller has, also from earlier requests.
func (c *call) lastEvent() string {
	if id := c.events.LastID(); id != "" {
		return id
	}
	return c.head.LastEvent
}

func (c *call) firstByteMs() int64 {
	if c.firstByte == 0 {
		return -1
	}
	return int64(c.firstByte - c.arrived)
}

// Results of requests, for logs and metrics.
const (
	resultComplete   = "whole"
	resultNotRun     = "not_run"
	resultFailed     = "failed"
	resultTimeout    = "timeout"
	resultCallerGone = "caller_gone"
)

// read reads a request's header and body and determines its route and team. It returns false if it has already answered
// the request.
func (r *Router) read(c *call) bool {
	now := r.o.Clock.Now()
	if r.stopping.Load() != nil || r.outOfRotation.Load() {
		c.w.Header().Set("Connection", "close")
	}
	var err error
	c.head, err = r.o.Dialect.Call(c.req.Header)
	if !r.accepting(now) {
		return r.reject(c, http.StatusServiceUnavailable, reasonStopping)
	}
	t := r.table.Load()
	if t == nil {
		return r.reject(c, http.StatusServiceUnavailable, "no_configuration")
	}
	if maxBytes := t.Limits().HeaderBytes; maxBytes > 0 && headerBytes(c.req) > maxBytes {
		return r.reject(c, http.StatusRequestHeaderFieldsTooLarge, "header_too_long")
	}
	if err != nil || c.head.ID == "" {
		return r.reject(c, http.StatusBadRequest, "bad_header")
	}
	if r.busy.Load() && httpserve.CallerGone(c.req.Context()) {
		r.metrics.ended.WithLabelValues("", "", resultCallerGone).Inc()
		r.o.Logger.Log(event.RequestEnded, "id", c.head.ID, "result", resultCallerGone, "status", 0)
		panic(http.ErrAbortHandler)
	}
	path, _, _ := strings.Cut(c.req.RequestURI, "?")
	var ok bool
	if c.route, ok = t.Route(c.req.Host, path); !ok {
		return r.reject(c, http.StatusNotFound, "no_route")
	}
	if t.RequiresKey() && !c.route.Public() {
		if c.team, ok = t.Team(c.head.Key); !ok {
			return r.reject(c, http.StatusUnauthorized, "key_unknown")
		}
	}
	if status, reason := r.readBody(c, t.Limits()); status != 0 {
		return r.reject(c, status, reason)
	}
	now = r.o.Clock.Now()
	r.mu.Lock()
	admitted := r.admits(now, c)
	r.mu.Unlock()
	if !admitted {
		// The shutdown may have begun while the body was being read.
		c.w.Header().Set("Connection", "close")
		return r.reject(c, http.StatusServiceUnavailable, reasonStopping)
	}
	c.resolve(now)
	return true
}

// headerBytes returns the minimum length of a request's header, computed from what net/http keeps of it.
func headerBytes(req *http.Request) int {
	n := len(req.Method) + len(req.RequestURI) + len(req.Host)
	for name, values := range req.Header {
		for _, v := range values {
			n += len(name) + len(v)
		}
	}
	return n
}

// routeTimeout returns the time limit of the request's route.
func (c *call) routeTimeout() clock.Millis {
	if limit := c.route.Timeout(); limit != 0 {
		return limit
	}
	return defaultTimeout
}

// resolve sets the deadline, fingerprint and service of a request that has been read completely.
func (c *call) resolve(now clock.Millis) {
	c.arrived = now
	limit := c.routeTimeout()
	if c.head.Timeout > 0 {
		limit = min(limit, c.head.Timeout)
	}
	c.deadline = now + limit
	h := xxhash.New()
	for _, part := range []string{c.team, c.req.Method, c.req.RequestURI} {
		_, _ = h.WriteString(part + "\n")
	}
	for _, s := range c.body.Segments() {
		_, _ = h.Write(s)
	}
	c.fingerprint = h.Sum64()
	c.service = c.route.Service(float64(c.fingerprint>>11) / (1 << 53))
	c.decided = make(chan intake.Decision, 1)
	for _, id := range c.sharedParts() {
		c.parts = append(c.parts, xxhash.Sum64String(id))
	}
}

// reject answers a request that is not accepted.
func (r *Router) reject(c *call, status int, reason string) bool {
	r.metrics.refused.WithLabelValues("", reason).Inc()
	if c.team != "" && c.head.PromptTokens > 0 {
		r.mu.Lock()
		r.intake.RecordRejection(c.request())
		r.mu.Unlock()
	}
	r.o.Logger.Log(event.RequestNotAdmitted, "id", c.head.ID, "team", c.team, "host", c.req.Host, "reason", reason,
		"status", status, "configuration", r.configurationVersion())
	after := clock.Millis(0)
	if status == http.StatusServiceUnavailable {
		after = rejectRetryAfter
	}
	out := http.NewResponseController(c.w)
	// The deadline set before the body was read may have passed.
	_ = out.SetWriteDeadline(time.Now().Add(writeMargin))
	if c.req.ContentLength != 0 {
		// net/http reads a part of what is left of the body before it answers, and would wait for it without an end. The
		// answer must be written before its own deadline.
		_ = out.SetReadDeadline(time.Now().Add(writeMargin / 2))
	}
	c.respond(status, reason, after)
	return false
}

// rejectRetryAfter tells a caller when to come back to a router that is starting or stopping: other routers serve in
// the meantime.
const rejectRetryAfter = 100 * clock.Millis(1)

func (r *Router) configurationVersion() int64 {
	if t := r.table.Load(); t != nil {
		return t.Version()
	}
	return 0
}

// respond sends an answer that the router itself generates.
func (c *call) respond(status int, reason string, after clock.Millis) {
	h := c.w.Header()
	h.Set("Content-Type", "text/plain; charset=utf-8")
	if after > 0 {
		h.Set("Retry-After", strconv.FormatFloat(after.Duration().Seconds(), 'f', 2, 64))
	}
	c.status = status
	c.w.WriteHeader(status)
	_, _ = io.WriteString(c.w, reason+"\n")
}

// sharedParts returns the ids of the prompt's parts that other requests may have too: all but the last.
func (c *call) sharedParts() []string {
	var out []string
	for _, p := range c.head.Parts[:max(0, len(c.head.Parts)-1)] {
		out = append(out, p.ID)
	}
	return out
}
