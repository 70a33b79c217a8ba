package httpserve

import (
	"context"
	"errors"
	"log"
	"math"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/laburnumring/laburnumring/internal/peek"
	"github.com/laburnumring/laburnumring/internal/refusal"
)

// errHeader is the error of a refused header, as net/http does not report why it refused one.
var errHeader = errors.New("header too slow, too long or malformed")

// handshakePrefix starts the messages that net/http logs about failed handshakes.
const handshakePrefix = "http: TLS handshake error from "

// watcher detects the refusals that net/http makes by itself, and connections that exceed limits.
type watcher struct {
	refusals *refusal.Recorder
	// maxKeepAliveConns is the number of open connections from which on each answer closes its connection; 0 means
	// never.
	maxKeepAliveConns int
	// open counts connections that net/http has not reported as closed.
	open sync.WaitGroup

	mu sync.Mutex
	// conns holds the open connections.
	conns map[net.Conn]*connection
}

// connection is the state of an open connection.
type connection struct {
	// unhandled is the number of headers that started to arrive and have not reached the handler.
	unhandled int
	// phase is what the connection is doing, since the given time.
	phase phase
	since time.Time
	// head measures the heads that arrive; nil if they are not measured.
	head *headMeter
	// requests is the number of requests received.
	requests int
	// expired is set once net/http was made to close the connection, unless it has read a request meanwhile.
	expired bool
}

// phase is what a connection is doing.
type phase int

const (
	// phaseServing means that a request is in progress.
	phaseServing phase = iota
	phaseHeader
	phaseIdle
)

func newWatcher(r *refusal.Recorder, maxKeepAliveConns int) *watcher {
	return &watcher{refusals: r, maxKeepAliveConns: maxKeepAliveConns, conns: make(map[net.Conn]*connection)}
}

// connKey is the context key of a request's connection.
type connKey struct{}

func (w *watcher) connContext(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, c)
}

// CallerGone reports whether the caller of the request with this context has closed its connection. net/http cancels
// the context in that case too, but later if there is no processor time.
func CallerGone(ctx context.Context) bool {
	c, ok := ctx.Value(connKey{}).(net.Conn)
	return ok && peek.HungUp(c)
}

// wrap returns h with a record of each header that arrived completely.
func (w *watcher) wrap(h http.Handler) http.Handler {
	return http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
		if c, ok := r.Context().Value(connKey{}).(net.Conn); ok {
			w.update(c, -1, phaseServing)
		}
		if w.overKeepAliveConns() {
			rw.Header().Set("Connection", "close")
		}
		h.ServeHTTP(rw, r)
	})
}

// connState counts headers that start to arrive; net/http reports StateActive after each attempt to read one.
func (w *watcher) connState(c net.Conn, state http.ConnState) {
	switch state {
	case http.StateNew:
		w.open.Add(1)
		w.update(c, 0, phaseHeader)
	case http.StateActive:
		w.update(c, 1, phaseHeader)
	case http.StateIdle:
		w.update(c, 0, phaseIdle)
	case http.StateClosed, http.StateHijacked:
		defer w.open.Done()
		if w.remove(c) > 0 && state == http.StateClosed {
			w.refusals.Record(refusal.Header, c.RemoteAddr().String(), errHeader)
		}
	default:
	}
}

// overKeepAliveConns reports whether answers are to close their connections.
func (w *watcher) overKeepAliveConns() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.maxKeepAliveConns > 0 && len(w.conns) >= w.maxKeepAliveConns
}

// update adds to the number of a connection's unhandled headers and sets its phase.
func (w *watcher) update(c net.Conn, headers int, p phase) {
	w.mu.Lock()
	defer w.mu.Unlock()
	v, ok := w.conns[c]
	if !ok {
		v = &connection{head: meterOf(c)}
		w.conns[c] = v
	}
	v.unhandled += headers
	switch {
	case p == phaseServing:
		v.requests++
		if v.head != nil {
			v.head.complete()
		}
	case p == phaseIdle && v.head != nil:
		v.head.expect()
	}
	v.phase, v.since = p, time.Now()
	if v.expired && p != phaseIdle {
		v.expired = false
		// If the connection has failed, its next use reports that.
		_ = c.SetReadDeadline(time.Time{})
	}
}

func (w *watcher) remove(c net.Conn) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	n := 0
	if v, ok := w.conns[c]; ok {
		n = v.unhandled
	}
	delete(w.conns, c)
	return n
}

// sweep closes the connections that have waited longer than the limits allow, apart from those with bytes to read. It
// makes their reads fail, upon which net/http closes them, so that a request that is being read now is still answered.
func (w *watcher) sweep(now time.Time, limits func() (header, idle time.Duration)) {
	header, idle := limits()
	w.mu.Lock()
	defer w.mu.Unlock()
	for c, v := range w.conns {
		p, since := v.waitsFor()
		waited := now.Sub(since)
		if (p == phaseHeader && waited > header || p == phaseIdle && waited > idle) && peek.Check(c) != peek.Readable {
			v.expire(c)
		}
	}
}

// waitsFor returns the connection's phase and its beginning. The next head on a connection has begun with its first byte,
// which net/http does not report.
func (v *connection) waitsFor() (phase, time.Time) {
	if began, ok := v.incomplete(); ok && v.phase == phaseIdle {
		return phaseHeader, began
	}
	return v.phase, v.since
}

// incomplete reports whether a part of a head has arrived, and since when.
func (v *connection) incomplete() (time.Time, bool) {
	if v.head == nil {
		return time.Time{}, false
	}
	return v.head.incomplete()
}

// expire makes the reads of the connection fail.
func (v *connection) expire(c net.Conn) {
	// Any time in the past makes reads fail.
	v.expired = c.SetReadDeadline(time.Unix(1, 0)) == nil
}

// closeUnused closes the connection that has waited longest for a request, like sweep, if that is longer than the given
// time. It reports whether there is one. With keepUsed it closes only connections on which nothing was ever received.
func (w *watcher) closeUnused(now time.Time, limit time.Duration, keepUsed bool) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	var longest net.Conn
	for c, v := range w.conns {
		if v.phase == phaseServing || v.expired || now.Sub(v.since) < limit {
			continue
		}
		_, begun := v.incomplete()
		if keepUsed && (begun || v.requests > 0) || !begun && peek.Check(c) == peek.Readable {
			continue
		}
		if longest == nil || v.since.Before(w.conns[longest].since) {
			longest = c
		}
	}
	if longest == nil {
		return false
	}
	w.conns[longest].expire(longest)
	return true
}

// closeIdle closes the idle connections like sweep, and waits until they are closed, at most for the given time.
func (w *watcher) closeIdle(limit time.Duration) {
	onlyIdle := func() (header, idle time.Duration) { return math.MaxInt64, -1 }
	for end := time.Now().Add(limit); w.anyIdle() && time.Now().Before(end); time.Sleep(closePollInterval) {
		w.sweep(time.Now(), onlyIdle)
	}
}

// closePollInterval is the time between two checks whether idle connections are closed.
const closePollInterval = 5 * time.Millisecond

func (w *watcher) anyIdle() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, v := range w.conns {
		if v.phase == phaseIdle {
			return true
		}
	}
	return false
}

// errorLog returns the logger that records net/http's messages of failed handshakes as refusals.
func (w *watcher) errorLog() *log.Logger {
	return log.New(w, "", 0)
}

// Write implements io.Writer for errorLog. p is one message of net/http.
func (w *watcher) Write(p []byte) (int, error) {
	text, ok := strings.CutPrefix(strings.TrimSpace(string(p)), handshakePrefix)
	if !ok {
		return len(p), nil
	}
	remote, problem, _ := strings.Cut(text, ": ")
	w.refusals.Record(refusal.Handshake, remote, errors.New(problem))
	return len(p), nil
}
