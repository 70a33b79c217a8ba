package httpserve_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/laburnumring/laburnumring/internal/httpserve"
)

// TestLimitsChange checks that connections that are idle, or slow with their header, are closed by the current limits
// after these have changed, while a request in progress goes on.
func TestLimitsChange(t *testing.T) {
	var limit atomic.Int64
	limit.Store(int64(time.Minute))
	address := serveConns(t, false, httpserve.Listener{
		Limits: func() (header, idle time.Duration) { d := time.Duration(limit.Load()); return d, d },
		Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if r.URL.Path == "/slow" {
				time.Sleep(2 * time.Second)
			}
			_, _ = io.WriteString(w, "answer")
		}),
	})
	dial := func(text string) net.Conn {
		conn, err := net.Dial("tcp", address)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = conn.Close() })
		if _, err := io.WriteString(conn, text); err != nil {
			t.Fatal(err)
		}
		return conn
	}
	closed := func(conn net.Conn, within time.Duration) bool {
		_ = conn.SetReadDeadline(time.Now().Add(within))
		_, err := io.Copy(io.Discard, conn)
		return err == nil
	}
	idle, partial := dial("GET / HTTP/1.1\r\nHost: a\r\n\r\n"), dial("GET / HT")
	for _, conn := range []net.Conn{idle, partial} {
		if closed(conn, 600*time.Millisecond) {
			t.Error("a connection was closed long before its limit")
		}
	}
	slow := dial("GET /slow HTTP/1.1\r\nHost: a\r\n\r\n")
	limit.Store(int64(100 * time.Millisecond))
	for name, conn := range map[string]net.Conn{"idle": idle, "half a header": partial} {
		if !closed(conn, 10*time.Second) {
			t.Errorf("%s: still open after its limit", name)
		}
	}
	resp, err := http.ReadResponse(bufio.NewReader(slow), nil)
	if err != nil {
		t.Fatalf("a request in progress: %v", err)
	}
	_ = resp.Body.Close()
}
