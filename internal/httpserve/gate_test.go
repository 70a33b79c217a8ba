package httpserve_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/laburnumring/laburnumring/internal/httpserve"
)

// serveConns serves with a listener that bounds connections, until the test ends. With reopen, connections beyond the
// bounds are refused.
func serveConns(t *testing.T, reopen bool, l httpserve.Listener) string {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	l.Net, l.CloseTimeout = ln, short
	if reopen {
		l.Reopen = func() (net.Listener, error) { return net.Listen("tcp", ln.Addr().String()) }
	}
	ctx, cancel := context.WithCancel(context.Background())
	served := make(chan error, 1)
	go func() {
		served <- httpserve.Serve(ctx, func(ctx context.Context) error { <-ctx.Done(); return nil }, l)
	}()
	t.Cleanup(func() {
		cancel()
		if err := <-served; err != nil {
			t.Error(err)
		}
	})
	return ln.Addr().String()
}

// TestCallerGone finds that a caller has left although it sent more than was read.
func TestCallerGone(t *testing.T) {
	arrived, gone := make(chan struct{}), make(chan bool, 1)
	address := serveConns(t, false, httpserve.Listener{MaxConns: 8, Handler: http.HandlerFunc(
		func(_ http.ResponseWriter, r *http.Request) {
			close(arrived)
			for end := time.Now().Add(10 * time.Second); time.Now().Before(end); time.Sleep(time.Millisecond) {
				if httpserve.CallerGone(r.Context()) {
					gone <- true
					return
				}
			}
			gone <- false
		})})
	conn, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	body := strings.Repeat("x", 64<<10)
	if _, err := conn.Write([]byte("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 100000\r\n\r\n" + body)); err != nil {
		t.Fatal(err)
	}
	<-arrived
	if err := conn.Close(); err != nil {
		t.Fatal(err)
	}
	if !<-gone {
		t.Error("the caller's close was not seen")
	}
}

// TestMaxConns serves no more connections than allowed at a time; the others wait.
func TestMaxConns(t *testing.T) {
	var open, most atomic.Int64
	address := serveConns(t, false, httpserve.Listener{MaxConns: 2, Handler: http.HandlerFunc(
		func(http.ResponseWriter, *http.Request) {
			most.Store(max(most.Load(), open.Add(1)))
			time.Sleep(short)
			open.Add(-1)
		})})
	served := make(chan bool)
	for range 6 {
		go func() { served <- get(address) }()
	}
	for range 6 {
		if !<-served {
			t.Error("a connection was not served")
		}
	}
	if most.Load() > 2 {
		t.Errorf("%d connections served at a time, want at most 2", most.Load())
	}
}

// get sends a request over a connection of its own.
func get(address string) bool {
	hc := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: 10 * time.Second}
	resp, err := hc.Get("http://" + address)
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return true
}

// TestNoTime refuses most new connections while the process has no time.
func TestNoTime(t *testing.T) {
	var full atomic.Bool
	address := serveConns(t, true, httpserve.Listener{Full: full.Load, Handler: http.HandlerFunc(
		func(http.ResponseWriter, *http.Request) {})})
	full.Store(true)
	n, refused := 0, 0
	for began := time.Now(); time.Since(began) < 20*short; time.Sleep(time.Millisecond) {
		conn, err := net.Dial("tcp", address)
		if err != nil {
			refused++
			continue
		}
		_ = conn.SetDeadline(time.Now().Add(2 * short))
		if _, err := conn.Write([]byte("GET / HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n")); err == nil {
			if data, _ := io.ReadAll(conn); len(data) > 0 {
				n++
			}
		}
		_ = conn.Close()
	}
	if n == 0 || refused < n {
		t.Errorf("%d connections served and %d refused within a second though there is no time, want a few of many", n, refused)
	}
	full.Store(false)
	until(t, "a connection is taken as there is time again", func() bool { return get(address) })
}

// TestConnectionRate refuses most of many connections to a process that has time for a few.
func TestConnectionRate(t *testing.T) {
	address := serveConns(t, true, httpserve.Listener{ConnsPerSecond: 40, Handler: http.HandlerFunc(
		func(http.ResponseWriter, *http.Request) {})})
	taken, refused := 0, 0
	for began := time.Now(); time.Since(began) < time.Second; time.Sleep(time.Millisecond) {
		conn, err := net.Dial("tcp", address)
		if err != nil {
			refused++
			continue
		}
		taken++
		_ = conn.Close()
	}
	if taken == 0 || refused < taken {
		t.Errorf("%d connections taken and %d refused, want a few of many", taken, refused)
	}
}

// TestBusyConnectionRate takes half as many connections of a flood while there is little time: some of them are to be
// served.
func TestBusyConnectionRate(t *testing.T) {
	const perSecond = 200
	var taken atomic.Int64
	address := serveConns(t, true, httpserve.Listener{
		ConnsPerSecond: perSecond, Busy: func() bool { return true },
		Handler: http.HandlerFunc(func(http.ResponseWriter, *http.Request) { taken.Add(1) }),
	})
	began := time.Now()
	var wg sync.WaitGroup
	for range 8 {
		wg.Go(func() {
			for time.Since(began) < time.Second {
				if !get(address) {
					time.Sleep(time.Millisecond)
				}
			}
		})
	}
	wg.Wait()
	// Half of the rate and of what may come at once, and what comes in while the listener must be open.
	most := 0.8 * perSecond * time.Since(began).Seconds()
	if n := taken.Load(); n == 0 || float64(n) > most {
		t.Errorf("%d requests served, want some and at most %.0f", n, most)
	}
}

// TestFull refuses a connection that would wait for others to end, and takes one when there is room again.
func TestFull(t *testing.T) {
	address := serveConns(t, true, httpserve.Listener{MaxConns: 1, Handler: http.HandlerFunc(
		func(http.ResponseWriter, *http.Request) {})})
	first, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	until(t, "a second connection is refused", func() bool { return !connects(address) })
	if err := first.Close(); err != nil {
		t.Fatal(err)
	}
	until(t, "a connection is taken again", func() bool { return connects(address) })
}

func connects(address string) bool {
	conn, err := net.Dial("tcp", address)
	if err == nil {
		_ = conn.Close()
	}
	return err == nil
}

func until(t *testing.T, what string, holds func() bool) {
	t.Helper()
	for end := time.Now().Add(10 * time.Second); !holds(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("not in time: %s", what)
		}
	}
}
