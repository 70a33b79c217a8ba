package httpserve_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/laburnumring/laburnumring/internal/httpserve"
	"github.com/laburnumring/laburnumring/internal/ingress"
	"github.com/laburnumring/laburnumring/internal/wallclock"
)

// maxHead is the limit of heads in these tests.
const maxHead = 20_000

func echo() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { _, _ = io.Copy(w, r.Body) })
}

func dial(t *testing.T, address string) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	_ = conn.SetDeadline(time.Now().Add(10 * time.Second))
	return conn
}

// TestHeadSize guards against heads without an end, whatever they consist of, and against a limit that counts bodies or
// the heads of earlier requests.
func TestHeadSize(t *testing.T) {
	long := strings.Repeat("x", maxHead)
	for _, tt := range []struct{ name, send, want string }{
		{"within the limit", "GET / HTTP/1.1\r\nHost: a\r\nX: " + long[:maxHead-100] + "\r\n\r\n", "200"},
		{"body over the limit", "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 20000\r\n\r\n" + long, "200"},
		{"line over the limit", "GET / HTTP/1.1\r\nHost: a\r\nX: " + long, "431"},
		{"lines over the limit", "GET / HTTP/1.1\r\nHost: a\r\n" + strings.Repeat("X: y\r\n", maxHead/5), "431"},
	} {
		t.Run(tt.name, func(t *testing.T) {
			a := ingress.New(ingress.Options{Clock: wallclock.New(), Heads: 1 << 20})
			address := serveConns(t, false, httpserve.Listener{
				Handler: echo(), MaxHeaderBytes: 1 << 20, MaxHead: func() int { return maxHead }, Account: a, MaxConns: 10,
			})
			conn := dial(t, address)
			r := bufio.NewReader(conn)
			for range 3 {
				if _, err := io.WriteString(conn, tt.send); err != nil {
					t.Fatal(err)
				}
				resp, err := http.ReadResponse(r, nil)
				if err != nil {
					t.Fatal(err)
				}
				if !strings.HasPrefix(resp.Status, tt.want) {
					t.Fatalf("status %s, want %s", resp.Status, tt.want)
				}
				if tt.want != "200" {
					_ = resp.Body.Close()
					break
				}
				if _, err := io.Copy(io.Discard, resp.Body); err != nil {
					t.Fatal(err)
				}
				_ = resp.Body.Close()
			}
			_ = conn.Close()
			for end := time.Now().Add(5 * time.Second); ; time.Sleep(time.Millisecond) {
				if used, _ := a.Used(ingress.Head); used == 0 {
					break
				} else if time.Now().After(end) {
					t.Fatalf("%d bytes stay charged", used)
				}
			}
		})
	}
}

// TestEmptyLinesCountAsHead guards against empty lines without an end before a request.
func TestEmptyLinesCountAsHead(t *testing.T) {
	address := serveConns(t, false, httpserve.Listener{Handler: echo(), MaxHead: func() int { return maxHead }, MaxConns: 10})
	conn := dial(t, address)
	sent := 0
	for ; sent < 100*maxHead; sent += 1000 {
		if _, err := io.WriteString(conn, strings.Repeat("\r\n", 500)); err != nil {
			return
		}
		time.Sleep(100 * time.Microsecond)
	}
	t.Errorf("%d bytes of empty lines were taken", sent)
}

// TestHeadTime guards against heads that keep arriving past their time, and against an idle timeout that ends while the
// next head on a connection is arriving.
func TestHeadTime(t *testing.T) {
	address := serveConns(t, false, httpserve.Listener{
		Handler: echo(), MaxHead: func() int { return 1 << 20 }, MaxHeaderBytes: 1 << 20, MaxConns: 10,
		Limits: func() (header, idle time.Duration) { return 1500 * time.Millisecond, 600 * time.Millisecond },
	})
	conn := dial(t, address)
	r := bufio.NewReader(conn)
	for _, pause := range []time.Duration{0, 200 * time.Millisecond} {
		for _, part := range []string{"GET / HTTP/1.1\r\n", "Host: a\r\n", "X: y\r\n", "X: z\r\n", "X: a\r\n", "X: b\r\n\r\n"} {
			if _, err := io.WriteString(conn, part); err != nil {
				t.Fatal(err)
			}
			time.Sleep(pause)
		}
		resp, err := http.ReadResponse(r, nil)
		if err != nil {
			t.Fatalf("a head with pauses of %v: %v", pause, err)
		}
		_ = resp.Body.Close()
	}
	began := time.Now()
	_, err := io.WriteString(conn, "GET / HTTP/1.1\r\n")
	for ; err == nil && time.Since(began) < 9*time.Second; time.Sleep(time.Millisecond) {
		_, err = io.WriteString(conn, "X: y\r\n")
	}
	if err == nil {
		t.Error("a head that never ends is still read")
	}
}

// TestUnusedConnectionsMakeRoom guards against connections that are opened and never used, and that keep others out.
func TestUnusedConnectionsMakeRoom(t *testing.T) {
	address := serveConns(t, false, httpserve.Listener{Handler: echo(), MaxConns: 4, UnusedTime: time.Millisecond})
	for range 12 {
		dial(t, address)
	}
	conn := dial(t, address)
	if _, err := io.WriteString(conn, "GET / HTTP/1.1\r\nHost: a\r\n\r\n"); err != nil {
		t.Fatal(err)
	}
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		t.Fatal(err)
	}
	_ = resp.Body.Close()
}
