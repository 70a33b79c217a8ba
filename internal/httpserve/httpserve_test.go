package httpserve_test

import (
	"bufio"
	"bytes"
	"context"
	"crypto/tls"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/testutil"

	"github.com/laburnumring/laburnumring/internal/event"
	"github.com/laburnumring/laburnumring/internal/httpserve"
	"github.com/laburnumring/laburnumring/internal/keys"
	"github.com/laburnumring/laburnumring/internal/refusal"
)

const (
	// short is for timeouts that must expire in a test, long for those that must not.
	short   = 50 * time.Millisecond
	long    = 5 * time.Minute
	maxBody = 100
)

// limits are the timeouts of a header and a body.
type limits struct{ header, body time.Duration }

// dataListener returns a connection from Accept only once the client has sent something.
type dataListener struct{ net.Listener }

// Accept implements net.Listener.
func (l dataListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c := &peekedConn{Conn: conn, r: bufio.NewReader(conn)}
	_, err = c.r.Peek(1)
	return c, err
}

// peekedConn is a connection whose first bytes have been peeked at.
type peekedConn struct {
	net.Conn
	r *bufio.Reader
}

// Read implements net.Conn.
func (c *peekedConn) Read(p []byte) (int, error) { return c.r.Read(p) }

// serve runs a server until f returns. Its handler answers with the error of reading the body, within limits. serve
// returns the log and the metrics after the shutdown.
func serve(t *testing.T, cfg *tls.Config, limits limits, f func(address string)) (string, prometheus.Collector) {
	t.Helper()
	var out bytes.Buffer
	rec := refusal.New(event.NewLogger(&out, "logfmt", "test"))
	h := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, err := io.ReadAll(r.Body)
		_, _ = fmt.Fprintf(w, "read: %v", err)
	})
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	err = httpserve.Serve(context.Background(), func(context.Context) error {
		f(ln.Addr().String())
		return nil
	}, httpserve.Listener{
		Net:           dataListener{ln},
		Handler:       httpserve.Guard{MaxBody: maxBody, BodyTimeout: limits.body, Refusals: rec}.Wrap(h),
		TLS:           cfg,
		HeaderTimeout: limits.header,
		Refusals:      rec,
	})
	if err != nil {
		t.Fatal(err)
	}
	return out.String(), rec
}

// send writes text on a new connection and returns everything received until the server closes the connection.
func send(t *testing.T, address, text string) string {
	t.Helper()
	conn, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	_, _ = io.WriteString(conn, text)
	got, _ := io.ReadAll(bufio.NewReader(conn))
	return string(got)
}

// TestRefusals sends requests that must be refused and checks the answers, the metrics and the log.
func TestRefusals(t *testing.T) {
	const head = "POST / HTTP/1.1\r\nHost: x\r\nConnection: close\r\n"
	longLimits := limits{header: long, body: long}
	tests := []struct {
		name, send string
		limits     limits
		// answer is a part of the expected response; empty if the connection ends without one.
		answer string
		reason refusal.Reason
		event  string
	}{
		{"complete request", head + "Content-Length: 2\r\n\r\nab", longLimits, "read: <nil>", "", ""},
		{"slow header", head, limits{header: short, body: long}, "", refusal.Header, "event=6002"},
		{"malformed header", "POST\r\n\r\n", longLimits, "400 Bad Request", refusal.Header, "event=6002"},
		{"over-long header", head + "X: " + strings.Repeat("x", 80<<10) + "\r\n\r\n", longLimits, "431 Request Header", refusal.Header, "event=6002"},
		{"slow body", head + "Content-Length: 2\r\n\r\na", limits{header: long, body: short}, "i/o timeout", refusal.BodySlow, "event=6002"},
		{"over-long body", head + "Content-Length: 101\r\n\r\n" + strings.Repeat("x", 101), longLimits, "body too large", refusal.BodyTooLong, "event=6002"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var got string
			out, rec := serve(t, nil, tt.limits, func(address string) { got = send(t, address, tt.send) })
			if !strings.Contains(got, tt.answer) || (tt.answer == "" && got != "") {
				t.Errorf("answer %q does not contain %q", got, tt.answer)
			}
			checkCounts(t, rec, tt.reason)
			if !strings.Contains(out, tt.event) || (tt.event == "" && out != "") {
				t.Errorf("log %q does not contain %q", out, tt.event)
			}
		})
	}
}

// checkCounts checks that one refusal is counted for reason and none for any other; none at all if reason is empty.
func checkCounts(t *testing.T, rec prometheus.Collector, reason refusal.Reason) {
	t.Helper()
	want := "# HELP laburnumring_refused_total Connections and requests refused for security's sake, by reason.\n" +
		"# TYPE laburnumring_refused_total counter\n"
	for _, r := range []refusal.Reason{
		refusal.BodySlow, refusal.BodyTooLong, refusal.Credentials, refusal.Handshake, refusal.Header, refusal.Role,
	} {
		n := 0
		if r == reason {
			n = 1
		}
		want += fmt.Sprintf("laburnumring_refused_total{reason=%q} %d\n", r, n)
	}
	if err := testutil.CollectAndCompare(rec, strings.NewReader(want)); err != nil {
		t.Error(err)
	}
}

// TestHandshakeRefusal connects with plain HTTP, and with TLS but no certificate, to a listener that requires a client
// certificate.
func TestHandshakeRefusal(t *testing.T) {
	trial, err := keys.NewTrialAuthority(t.TempDir(), time.Now(), time.Hour)
	if err != nil {
		t.Fatal(err)
	}
	o, err := trial.Issue(keys.Identity{Role: keys.Agent, Name: "a"}, time.Hour)
	if err != nil {
		t.Fatal(err)
	}
	k, err := keys.Load(o)
	if err != nil {
		t.Fatal(err)
	}
	clients := map[string]func(address string){
		"plain": func(address string) { send(t, address, "GET / HTTP/1.1\r\n\r\n") },
		"no certificate": func(address string) {
			conn, err := tls.Dial("tcp", address, &tls.Config{InsecureSkipVerify: true})
			if err == nil {
				_, err = conn.Read(make([]byte, 1))
				_ = conn.Close()
			}
			if err == nil {
				t.Error("a client without a certificate was accepted")
			}
		},
	}
	for name, client := range clients {
		t.Run(name, func(t *testing.T) {
			out, rec := serve(t, k.Server(true, keys.Router), limits{header: long, body: long}, client)
			checkCounts(t, rec, refusal.Handshake)
			if !strings.Contains(out, "event=6001") {
				t.Errorf("log %q has no event 6001", out)
			}
		})
	}
}
