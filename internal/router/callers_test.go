package router

import (
	"bufio"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"regexp"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/laburnumring/laburnumring/internal/caller"
	"github.com/laburnumring/laburnumring/internal/event"
	"github.com/laburnumring/laburnumring/internal/traffic"
	"github.com/laburnumring/laburnumring/internal/wallclock"
	"github.com/laburnumring/laburnumring/pkg/header"
	"github.com/laburnumring/laburnumring/pkg/place"
	"github.com/laburnumring/laburnumring/pkg/service"
	"github.com/laburnumring/laburnumring/pkg/site"
	"github.com/laburnumring/laburnumring/pkg/team"
)

const (
	// shortTimeout ends what would otherwise never end, and longTimeout is for what must not time out.
	shortTimeout = 50 * time.Millisecond
	longTimeout  = 5 * time.Minute
	// slowBody is a request whose body stops after two of nine bytes.
	slowBody = "POST /v1/services/pool HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer secret\r\nContent-Length: 9\r\n\r\n{}"
)

// newCallersRouter returns a router and the address of its interface for callers. The router does not run and
// has no agents. It has a configuration unless mode is zero.
func newCallersRouter(t *testing.T, mode caller.Mode, bodyTimeout time.Duration) (*Router, string) {
	t.Helper()
	r := New(Options{
		Name:        "r",
		Incarnation: "i",
		Clock:       wallclock.New(),
		LogTraffic:  &traffic.Counter{},
		Logger:      event.NewLogger(io.Discard, "", "router"),
		CallerAuth:  mode,
		BodyTimeout: bodyTimeout,
	})
	s := site.New("s")
	s.AddTeams(team.New("brokers", team.Options{TokenSHA256: team.TokenDigest("secret")}), team.New("bakery", team.Options{}))
	s.AddServices(service.New("pool", service.Options{QueueLimit: 1}))
	s.AddPlaces(place.New("north", "r"))
	if mode != 0 {
		r.board.SetSite(s, 1)
	}
	srv := httptest.NewServer(r.Handler())
	t.Cleanup(srv.Close)
	return r, strings.TrimPrefix(srv.URL, "http://")
}

// badRequests returns raw requests to a router in Credentials mode, by the reason for which they are refused. A word
// in parentheses distinguishes requests with the same reason.
func badRequests() map[string]string {
	const (
		start = "POST /v1/services/pool HTTP/1.1\r\nHost: x\r\n"
		token = "Authorization: Bearer secret\r\n"
		whole = "Content-Length: 2\r\n\r\n{}"
	)
	return map[string]string{
		"no_credentials":    start + header.Team + ": brokers\r\n" + whole,
		"token_unknown":     start + "Authorization: Bearer x\r\n" + whole,
		"team_mismatch":     start + token + header.Team + ": bakery\r\n" + whole,
		"service_unknown":   strings.Replace(start, "pool", "pond", 1) + token + whole,
		"bad_header":        start + token + header.Deadline + ": soon\r\n" + whole,
		"bad_header (low)":  start + token + header.Deadline + ": -1\r\n" + whole,
		"bad_header (high)": start + token + header.Deadline + ": 600001\r\n" + whole,
		"bad_header (cost)": start + token + header.CostHint + ": 0\r\n" + whole,
		"bad_header (flag)": start + token + header.Repeatable + ": maybe\r\n" + whole,
		"bad_header (key)":  start + token + header.IdempotencyKey + ": no-uuid\r\n" + whole,
		"bad_header (long)": start + token + header.IdempotencyKey + ": " + strings.Repeat("k", 257) + "\r\n" + whole,
		"body_cut":          start + token + "Content-Length: 9\r\n\r\n{}",
		"body_too_long":     start + token + "Content-Length: 8388609\r\n\r\n" + strings.Repeat("x", 8388609),
	}
}

// TestBadRequests checks the responses to invalid requests against the table in docs/CALLERS.md.
func TestBadRequests(t *testing.T) {
	documented := documentedRefusals(t)
	tokenRouter, address := newCallersRouter(t, caller.Credentials, longTimeout)
	_, quickRouter := newCallersRouter(t, caller.Credentials, shortTimeout)
	_, headerRouter := newCallersRouter(t, caller.TeamHeader, longTimeout)
	_, emptyRouter := newCallersRouter(t, 0, longTimeout)
	seen := map[string]bool{"certificate_unknown": true} // tested in package caller
	check := func(name, address, request string) {
		t.Run(name, func(t *testing.T) {
			reason, _, _ := strings.Cut(name, " ")
			seen[reason] = true
			checkRefusal(t, sendRaw(t, address, request, reason == "body_cut"), reason, documented[reason])
		})
	}
	for name, request := range badRequests() {
		check(name, address, request)
	}
	check("body_slow", quickRouter, slowBody)
	check("team_unknown", headerRouter, badRequests()["bad_header"])
	check("no_configuration", emptyRouter, badRequests()["bad_header"])
	for reason := range documented {
		if !seen[reason] {
			t.Errorf("no request is refused as %s", reason)
		}
	}
	if n := tokenRouter.dispatch.Len(); n != 0 {
		t.Errorf("%d invalid requests are queued", n)
	}
}

// documentedRefusal is a row of the table of refusals in docs/CALLERS.md.
type documentedRefusal struct {
	status     int
	retryAfter string
}

func documentedRefusals(t *testing.T) map[string]documentedRefusal {
	t.Helper()
	text, err := os.ReadFile("../../docs/CALLERS.md")
	if err != nil {
		t.Fatal(err)
	}
	rows := make(map[string]documentedRefusal)
	for _, m := range regexp.MustCompile(`(?m)^\| (\w+) \| (\d{3}) \| (\d+) \| `).FindAllStringSubmatch(string(text), -1) {
		status, _ := strconv.Atoi(m[2])
		rows[m[1]] = documentedRefusal{status: status, retryAfter: m[3]}
	}
	return rows
}

// reply is a response that was read to its end.
type reply struct {
	status int
	header http.Header
	body   refusalBody
}

// sendRaw sends a raw request and returns the reply. If cut is set, it then closes the sending side of the
// connection.
func sendRaw(t *testing.T, address, request string, cut bool) reply {
	t.Helper()
	conn, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	go func() {
		_, _ = io.WriteString(conn, request)
		if tcp, ok := conn.(*net.TCPConn); ok && cut {
			_ = tcp.CloseWrite()
		}
	}()
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = resp.Body.Close() }()
	got := reply{status: resp.StatusCode, header: resp.Header}
	if err := json.NewDecoder(resp.Body).Decode(&got.body); err != nil {
		t.Fatal(err)
	}
	return got
}

// checkRefusal compares a reply with the documentation. Status, headers and body must agree on the outcome, the
// reason and the time to retry after.
func checkRefusal(t *testing.T, got reply, reason string, want documentedRefusal) {
	t.Helper()
	h, body := got.header, got.body
	if got.status != want.status || h.Get("Retry-After") != want.retryAfter {
		t.Errorf("status %d, Retry-After %q; want %+v", got.status, h.Get("Retry-After"), want)
	}
	if h.Get(header.Outcome) != "not_run" || h.Get(header.Reason) != reason || h.Get(header.RetryAfterMs) != want.retryAfter+"000" {
		t.Errorf("headers %v", h)
	}
	if body.Outcome != "not_run" || body.Reason != reason || strconv.FormatInt(body.RetryAfterMs.Seconds(), 10) != want.retryAfter {
		t.Errorf("body %+v", body)
	}
	if (got.status == http.StatusUnauthorized) != (h.Get("WWW-Authenticate") == "Bearer") {
		t.Errorf("WWW-Authenticate %q with status %d", h.Get("WWW-Authenticate"), got.status)
	}
}

// TestRefusals checks that valid requests are refused when the queue is full and while the router shuts down.
func TestRefusals(t *testing.T) {
	r, address := newCallersRouter(t, caller.Credentials, longTimeout)
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() {
		defer close(done)
		if resp, err := http.DefaultClient.Do(goodRequest(ctx, address)); err == nil {
			_ = resp.Body.Close()
		}
	}()
	for waiting := 0; waiting == 0; time.Sleep(time.Millisecond) {
		r.mu.Lock()
		waiting, _ = r.dispatch.Waiting()
		r.mu.Unlock()
	}
	checkGoodRequestRefused(t, address, "queue_full", http.StatusTooManyRequests)
	cancel()
	<-done
	r.mu.Lock()
	r.stopping = true
	r.mu.Unlock()
	checkGoodRequestRefused(t, address, "stopping", http.StatusServiceUnavailable)
	resp, err := http.Get("http://" + address + "/readyz")
	if err != nil {
		t.Fatal(err)
	}
	_ = resp.Body.Close()
	if resp.StatusCode != http.StatusServiceUnavailable {
		t.Errorf("readiness status %d during a shutdown", resp.StatusCode)
	}
}

func goodRequest(ctx context.Context, address string) *http.Request {
	req, _ := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+"/v1/services/pool", strings.NewReader("{}"))
	req.Header.Set("Authorization", "Bearer secret")
	return req
}

func checkGoodRequestRefused(t *testing.T, address, reason string, status int) {
	t.Helper()
	resp, err := http.DefaultClient.Do(goodRequest(t.Context(), address))
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = resp.Body.Close() }()
	h := resp.Header
	after, _ := strconv.Atoi(h.Get("Retry-After"))
	if resp.StatusCode != status || h.Get(header.Outcome) != "not_run" || h.Get(header.Reason) != reason || after < 1 {
		t.Errorf("status %d, headers %v; want %d %s", resp.StatusCode, h, status, reason)
	}
}
