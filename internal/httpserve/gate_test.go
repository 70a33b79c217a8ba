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

// serveConns serves with a listener that limits connections, until the test ends. If reopen is set, connections over
// the limits are reset.
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

// TestCallerGone checks that a caller's close is noticed although bytes that it sent before have not been read.
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
		t.Error("the caller's close was not detected")
	}
}

// TestMaxConns checks that no more than MaxConns connections are served at a time while the others wait.
func TestMaxConns(t *testing.T) {
	var open, maxOpen atomic.Int64
	address := serveConns(t, false, httpserve.Listener{MaxConns: 2, Handler: http.HandlerFunc(
		func(http.ResponseWriter, *http.Request) {
			maxOpen.Store(max(maxOpen.Load(), open.Add(1)))
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
	if maxOpen.Load() > 2 {
		t.Errorf("%d connections served at a time, want at most 2", maxOpen.Load())
	}
}

// get sends a request over a new connection.
func get(address string) bool {
	hc := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: 10 * time.Second}
	resp, err := hc.Get("http://" + address)
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return true
}

// TestSaturatedSheds checks that most new connections are reset while the process has no processor time, and that they
// are accepted again afterwards.
func TestSaturatedSheds(t *testing.T) {
	var saturated atomic.Bool
	address := serveConns(t, true, httpserve.Listener{Saturated: saturated.Load, Handler: http.HandlerFunc(
		func(http.ResponseWriter, *http.Request) {})})
	saturated.Store(true)
	served, reset := 0, 0
	for began := time.Now(); time.Since(began) < 20*short; time.Sleep(time.Millisecond) {
		conn, err := net.Dial("tcp", address)
		if err != nil {
			reset++
			continue
		}
		_ = conn.SetDeadline(time.Now().Add(2 * short))
		if _, err := conn.Write([]byte("GET / HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n")); err == nil {
			if data, _ := io.ReadAll(conn); len(data) > 0 {
				served++
			}
		}
		_ = conn.Close()
	}
	if served == 0 || reset < served {
		t.Errorf("%d connections served and %d reset within a second without processor time, want a few of many served", served, reset)
	}
	saturated.Store(false)
	waitFor(t, "a connection is accepted once there is processor time again", func() bool { return get(address) })
}

// TestConnectionRate checks that most connections of a flood are reset if the process has time for a few only.
func TestConnectionRate(t *testing.T) {
	address := serveConns(t, true, httpserve.Listener{ConnsPerSecond: 40, Handler: http.HandlerFunc(
		func(http.ResponseWriter, *http.Request) {})})
	accepted, reset := 0, 0
	for began := time.Now(); time.Since(began) < time.Second; time.Sleep(time.Millisecond) {
		conn, err := net.Dial("tcp", address)
		if err != nil {
			reset++
			continue
		}
		accepted++
		_ = conn.Close()
	}
	if accepted == 0 || reset < accepted {
		t.Errorf("%d connections accepted and %d reset, want a few of many accepted", accepted, reset)
	}
}

// TestBusyConnectionRate checks that a busy process accepts half as many connections of a flood, so that it can serve
// some of them.
func TestBusyConnectionRate(t *testing.T) {
	const perSecond = 200
	var accepted atomic.Int64
	address := serveConns(t, true, httpserve.Listener{
		ConnsPerSecond: perSecond, Busy: func() bool { return true },
		Handler: http.HandlerFunc(func(http.ResponseWriter, *http.Request) { accepted.Add(1) }),
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
	// Half of the rate and of the burst, and what arrives while the listener has to be open.
	limit := 0.8 * perSecond * time.Since(began).Seconds()
	if n := accepted.Load(); n == 0 || float64(n) > limit {
		t.Errorf("%d requests served, want at least 1 and at most %.0f", n, limit)
	}
}

// TestMaxConnsSheds checks that a connection is reset if it would have to wait for others to end, and that one is
// accepted once there is a free slot.
func TestMaxConnsSheds(t *testing.T) {
	address := serveConns(t, true, httpserve.Listener{MaxConns: 1, Handler: http.HandlerFunc(
		func(http.ResponseWriter, *http.Request) {})})
	first, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	waitFor(t, "a second connection is reset", func() bool { return !canDial(address) })
	if err := first.Close(); err != nil {
		t.Fatal(err)
	}
	waitFor(t, "a connection is accepted again", func() bool { return canDial(address) })
}

func canDial(address string) bool {
	conn, err := net.Dial("tcp", address)
	if err == nil {
		_ = conn.Close()
	}
	return err == nil
}

func waitFor(t *testing.T, what string, holds func() bool) {
	t.Helper()
	for end := time.Now().Add(10 * time.Second); !holds(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("timed out waiting until %s", what)
		}
	}
}
