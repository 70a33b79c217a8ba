package httpserve

import (
	"context"
	"errors"
	"log"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/laburnumring/laburnumring/internal/peek"
	"github.com/laburnumring/laburnumring/internal/refusal"
)

// errHeader is the cause of a refused header, which net/http does not tell.
var errHeader = errors.New("the header was too slow, too long or malformed")

// handshakePrefix begins what net/http logs of a failed handshake.
const handshakePrefix = "http: TLS handshake error from "

// watcher finds refusals that net/http makes by itself.
type watcher struct {
	refusals *refusal.Recorder
	// softConns is from how many connections on each answer ends its connection; 0 for never.
	softConns int
	// open counts connections whose end was not yet seen.
	open sync.WaitGroup

	mu sync.Mutex
	// conns holds the open connections.
	conns map[net.Conn]*connection
}

// connection is what is known of an open connection.
type connection struct {
	// unanswered counts headers that began to arrive and did not reach the handler.
	unanswered int
	// waits says for what the other side is waited, since the given time.
	waits waiting
	since time.Time
}

// waiting is what a connection waits for.
type waiting int

const (
	// waitsForNothing is a connection with a request in progress.
	waitsForNothing waiting = iota
	waitsForHeader
	waitsForRequest
)

func newWatcher(r *refusal.Recorder, softConns int) *watcher {
	return &watcher{refusals: r, softConns: softConns, conns: make(map[net.Conn]*connection)}
}

// connKey is the context key of a request's connection.
type connKey struct{}

func (w *watcher) connContext(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, c)
}

// CallerGone reports whether the caller of the request with this context has closed its connection. net/http ends the
// context then too, but later where there is no processor time.
func CallerGone(ctx context.Context) bool {
	c, ok := ctx.Value(connKey{}).(net.Conn)
	return ok && peek.HungUp(c)
}

// wrap returns h and marks that a header arrived whole.
func (w *watcher) wrap(h http.Handler) http.Handler {
	return http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
		if c, ok := r.Context().Value(connKey{}).(net.Conn); ok {
			w.note(c, -1, waitsForNothing)
		}
		if w.crowded() {
			rw.Header().Set("Connection", "close")
		}
		h.ServeHTTP(rw, r)
	})
}

// connState counts headers that began to arrive; net/http reports StateActive after each attempt to read one.
func (w *watcher) connState(c net.Conn, state http.ConnState) {
	switch state {
	case http.StateNew:
		w.open.Add(1)
		w.note(c, 0, waitsForHeader)
	case http.StateActive:
		w.note(c, 1, waitsForHeader)
	case http.StateIdle:
		w.note(c, 0, waitsForRequest)
	case http.StateClosed, http.StateHijacked:
		defer w.open.Done()
		if w.forget(c) > 0 && state == http.StateClosed {
			w.refusals.Refuse(refusal.Header, c.RemoteAddr().String(), errHeader)
		}
	default:
	}
}

// crowded reports whether connections are to be ended.
func (w *watcher) crowded() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.softConns > 0 && len(w.conns) >= w.softConns
}

// note adds to the headers of a connection and says for what it waits from now on.
func (w *watcher) note(c net.Conn, headers int, waits waiting) {
	w.mu.Lock()
	defer w.mu.Unlock()
	v, ok := w.conns[c]
	if !ok {
		v = &connection{}
		w.conns[c] = v
	}
	v.unanswered += headers
	v.waits, v.since = waits, time.Now()
}

func (w *watcher) forget(c net.Conn) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	n := 0
	if v, ok := w.conns[c]; ok {
		n = v.unanswered
	}
	delete(w.conns, c)
	return n
}

// sweep closes the connections that wait longer than the limits allow.
func (w *watcher) sweep(now time.Time, limits func() (header, idle time.Duration)) {
	header, idle := limits()
	w.mu.Lock()
	var old []net.Conn
	for c, v := range w.conns {
		waited := now.Sub(v.since)
		if v.waits == waitsForHeader && waited > header || v.waits == waitsForRequest && waited > idle {
			old = append(old, c)
		}
	}
	w.mu.Unlock()
	for _, c := range old {
		_ = c.Close()
	}
}

// errorLog returns a logger that turns net/http's messages of failed handshakes into refusals.
func (w *watcher) errorLog() *log.Logger {
	return log.New(w, "", 0)
}

// Write takes one message of net/http.
func (w *watcher) Write(p []byte) (int, error) {
	text, ok := strings.CutPrefix(strings.TrimSpace(string(p)), handshakePrefix)
	if !ok {
		return len(p), nil
	}
	remote, problem, _ := strings.Cut(text, ": ")
	w.refusals.Refuse(refusal.Handshake, remote, errors.New(problem))
	return len(p), nil
}
