package httpserve

import (
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/laburnumring/laburnumring/internal/peek"
)

// idleConn returns the two ends of a connection that has been idle since its first request, as net/http reports it.
func idleConn(t *testing.T, w *watcher) (caller, served net.Conn) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = ln.Close() }()
	if caller, err = net.Dial("tcp", ln.Addr().String()); err != nil {
		t.Fatal(err)
	}
	if served, err = ln.Accept(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _, _ = caller.Close(), served.Close() })
	w.connState(served, http.StateNew)
	w.connState(served, http.StateActive)
	w.update(served, -1, phaseServing)
	w.connState(served, http.StateIdle)
	return caller, served
}

// TestRequestLostAtIdleTimeout guards against requests that get no answer because their connection is closed as idle
// while they wait to be read, or while their header is being read, as happens to a starved process when the
// configuration shortens the idle timeout.
func TestRequestLostAtIdleTimeout(t *testing.T) {
	const request = "GET / HTTP/1.1\r\nHost: a\r\n\r\n"
	limits := func() (header, idle time.Duration) { return time.Second, time.Second }
	later := time.Now().Add(time.Minute)
	for name, read := range map[string]bool{"unread": false, "being read": true} {
		t.Run(name, func(t *testing.T) {
			w := newWatcher(nil, 0)
			caller, served := idleConn(t, w)
			if read {
				// The sweep takes place after the header was read, and before net/http has reported that.
				w.sweep(later, limits)
				w.connState(served, http.StateActive)
			}
			if _, err := io.WriteString(caller, request); err != nil {
				t.Fatal(err)
			}
			for peek.Check(served) == peek.Idle {
				time.Sleep(time.Millisecond)
			}
			if !read {
				w.sweep(later, limits)
			}
			buf := make([]byte, len(request))
			if _, err := io.ReadFull(served, buf); err != nil {
				t.Errorf("the request cannot be read: %v", err)
			}
		})
	}
}
