package direct

import (
	"context"
	"errors"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/laburnumring/laburnumring"
	"github.com/laburnumring/laburnumring/internal/event"
	"github.com/laburnumring/laburnumring/internal/eventstream"
	"github.com/laburnumring/laburnumring/internal/httpserve"
	"github.com/laburnumring/laburnumring/internal/intake"
	"github.com/laburnumring/laburnumring/internal/routing"
	"github.com/laburnumring/laburnumring/internal/suspect"
	"github.com/laburnumring/laburnumring/pkg/clock"
	"github.com/laburnumring/laburnumring/pkg/route"
)

// call is one caller's request.
type call struct {
	w    http.ResponseWriter
	req  *http.Request
	head laburnumring.CallHeader
	// route, service and team are those of the configuration in force when the request was read.
	route   route.Route
	service string
	team    string
	body    []byte
	// held is what of the body counts as held.
	held int64
	// pooled is where the body's memory goes when the request has ended; nil when it is not used again.
	pooled *[]byte
	// fingerprint identifies the request's content, however often it is sent.
	fingerprint uint64
	// arrived is when the request was read, limit when it ends in any case.
	arrived clock.Millis
	limit   clock.Millis
	seq     int64
	// decided gets the decision on a waiting request.
	decided chan intake.Decision
	// sends counts the servers that got the request, and tried names them and those that could not be reached.
	sends int
	tried []string
	// mayHaveRun says that a server may have run the request.
	mayHaveRun bool
	// committed says that the caller has the answer's head, and events what it has of a stream.
	committed bool
	events    eventstream.Splitter
	// status is the answer's, 0 before; result is a word for logs and metrics.
	status int
	result string
	// first is when the caller got the answer's first bytes.
	first clock.Millis
	// pause is the longest time between a stream's events.
	pause clock.Millis
}

// Bounds of callers' requests beside those of the configuration.
const (
	// defaultLimit is for routes without a time-out.
	defaultLimit = 1 * clock.Minute
	defaultBody  = 8 << 20
	// writeMargin is how long after a request's limit its last bytes may still be written.
	writeMargin = 1 * time.Second
	// outputShare is the expected part of the most output tokens, for requests without a hint.
	outputShare = 0.5
)

// Handler returns the callers' interface.
func (r *Router) Handler() http.Handler { return http.HandlerFunc(r.serve) }

func (r *Router) serve(w http.ResponseWriter, req *http.Request) {
	r.inbound.Add(1)
	defer r.inbound.Add(-1)
	c := &call{w: w, req: req, seq: r.count.Add(1)}
	// An earlier request of the connection may have left a deadline.
	_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(writeMargin))
	defer func() {
		r.held.Add(-c.held)
		c.free()
	}()
	if !r.read(c) {
		return
	}
	ctx, cancel := context.WithDeadline(req.Context(), time.Now().Add((c.limit - c.arrived).Duration()))
	defer cancel()
	_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add((c.limit - c.arrived).Duration() + writeMargin))
	r.run(ctx, c)
	now := r.o.Clock.Now()
	r.metrics.ended.WithLabelValues(c.service, c.team, c.result).Inc()
	if c.first > 0 {
		r.metrics.answered(c.service, c.team, c.first-c.arrived)
	}
	if c.result == resultRefused {
		return
	}
	r.o.Logger.Log(event.RequestEnded, "id", c.head.ID, "team", c.team, "route", c.route.Name(), "result", c.result,
		"status", c.status, "took_ms", int64(now-c.arrived), "first_ms", c.firstAfter(),
		"pause_ms", int64(c.pause), "sends", c.sends)
	if c.committed && c.result != resultWhole {
		// The connection is closed, so that the answer does not look complete.
		panic(http.ErrAbortHandler)
	}
}

func (c *call) firstAfter() int64 {
	if c.first == 0 {
		return -1
	}
	return int64(c.first - c.arrived)
}

// Results of requests, for logs and metrics.
const (
	resultWhole   = "whole"
	resultRefused = "not_run"
	resultFailed  = "failed"
	resultTimeout = "timeout"
	resultLeft    = "caller_gone"
)

// read takes a request's head and body and finds its route and team. It returns false when it answered already.
func (r *Router) read(c *call) bool {
	now := r.o.Clock.Now()
	if r.stopping.Load() != 0 || r.away.Load() {
		c.w.Header().Set("Connection", "close")
	}
	var err error
	c.head, err = r.o.Dialect.Call(c.req.Header)
	if !r.accepting(now) {
		return r.reject(c, http.StatusServiceUnavailable, "stopping")
	}
	t := r.table.Load()
	if t == nil {
		return r.reject(c, http.StatusServiceUnavailable, "no_configuration")
	}
	if most := t.Limits().HeaderBytes; most > 0 && headerBytes(c.req) > most {
		return r.reject(c, http.StatusRequestHeaderFieldsTooLarge, "header_too_long")
	}
	if err != nil || c.head.ID == "" {
		return r.reject(c, http.StatusBadRequest, "bad_header")
	}
	if r.busy.Load() && httpserve.CallerGone(c.req.Context()) {
		r.metrics.ended.WithLabelValues("", "", resultLeft).Inc()
		r.o.Logger.Log(event.RequestEnded, "id", c.head.ID, "result", resultLeft, "status", 0)
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
	if n := max(0, c.req.ContentLength); r.o.MaxHeld > 0 && r.held.Load()+n > r.o.MaxHeld {
		// A router that is full for long leaves the rotation like one without processor time.
		r.Refusing()
		return r.reject(c, http.StatusServiceUnavailable, "router_full")
	}
	if c.body, err = readBody(c, t.Limits()); err != nil {
		var long *http.MaxBytesError
		if errors.As(err, &long) {
			return r.reject(c, http.StatusRequestEntityTooLarge, "body_too_long")
		}
		return r.reject(c, http.StatusBadRequest, "body_broken")
	}
	c.held = int64(len(c.body))
	r.held.Add(c.held)
	c.settle(r.o.Clock.Now())
	return true
}

// headerBytes returns how long a request's header was at least, by what is known of it when it was read.
func headerBytes(req *http.Request) int {
	n := len(req.Method) + len(req.RequestURI) + len(req.Host)
	for name, values := range req.Header {
		for _, v := range values {
			n += len(name) + len(v)
		}
	}
	return n
}

func readBody(c *call, l routing.Limits) ([]byte, error) {
	limit := l.BodyBytes
	if limit == 0 {
		limit = defaultBody
	}
	if c.req.ContentLength > limit {
		return nil, &http.MaxBytesError{Limit: limit}
	}
	body := http.MaxBytesReader(c.w, c.req.Body, limit)
	if c.req.ContentLength < 0 {
		return io.ReadAll(body)
	}
	c.pooled = bodies.Get().(*[]byte) //nolint:forcetypeassert // The pool holds nothing else.
	data := slices.Grow((*c.pooled)[:0], int(c.req.ContentLength))[:c.req.ContentLength]
	*c.pooled = data
	_, err := io.ReadFull(body, data)
	return data, err
}

// bodies holds the memory of bodies whose requests have ended.
var bodies = sync.Pool{New: func() any { return new([]byte) }}

// maxPooled is the largest body whose memory is used again.
const maxPooled = 64 << 10

// free gives back the body's memory.
func (c *call) free() {
	c.body = nil
	if c.pooled != nil && cap(*c.pooled) <= maxPooled {
		bodies.Put(c.pooled)
	}
	c.pooled = nil
}

// settle fixes what follows from a whole request.
func (c *call) settle(now clock.Millis) {
	c.arrived = now
	limit := c.route.Timeout()
	if limit == 0 {
		limit = defaultLimit
	}
	if c.head.Timeout > 0 {
		limit = min(limit, c.head.Timeout)
	}
	c.limit = now + limit
	h := xxhash.New()
	for _, part := range []string{c.team, c.req.Method, c.req.RequestURI} {
		_, _ = h.WriteString(part + "\n")
	}
	_, _ = h.Write(c.body)
	c.fingerprint = h.Sum64()
	c.service = c.route.Service(float64(c.fingerprint>>11) / (1 << 53))
	c.decided = make(chan intake.Decision, 1)
}

// reject answers a request that is not taken.
func (r *Router) reject(c *call, status int, reason string) bool {
	r.metrics.refused.WithLabelValues("", reason).Inc()
	if c.team != "" && c.head.PromptTokens > 0 {
		r.mu.Lock()
		r.intake.BookRejection(c.request())
		r.mu.Unlock()
	}
	r.o.Logger.Log(event.RequestNotAdmitted, "id", c.head.ID, "team", c.team, "host", c.req.Host, "reason", reason,
		"status", status, "configuration", r.version())
	after := clock.Millis(0)
	if status == http.StatusServiceUnavailable {
		after = rejectRetryAfter
	}
	c.answer(status, reason, after)
	return false
}

// rejectRetryAfter is when to come back to a router that is starting or stopping: other routers serve meanwhile.
const rejectRetryAfter = 100 * clock.Millis(1)

func (r *Router) version() int64 {
	if t := r.table.Load(); t != nil {
		return t.Version()
	}
	return 0
}

// answer writes an answer of the router's own.
func (c *call) answer(status int, reason string, after clock.Millis) {
	h := c.w.Header()
	h.Set("Content-Type", "text/plain; charset=utf-8")
	if after > 0 {
		h.Set("Retry-After", strconv.FormatFloat(after.Duration().Seconds(), 'f', 2, 64))
	}
	c.status = status
	c.w.WriteHeader(status)
	_, _ = io.WriteString(c.w, reason+"\n")
}

// poison reports whether the request is known to take servers down.
func (r *Router) poison(now clock.Millis, c *call) (clock.Millis, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.suspects.Kind(now, c.fingerprint) != suspect.Confirmed {
		return 0, false
	}
	return r.suspects.Remaining(now, c.fingerprint), true
}
