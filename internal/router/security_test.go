package router

import (
	"crypto/tls"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/laburnumring/laburnumring/internal/caller"
	"github.com/laburnumring/laburnumring/internal/keys"
	"github.com/laburnumring/laburnumring/internal/status"
	"github.com/laburnumring/laburnumring/pkg/header"
)

func newTrial(t *testing.T) *keys.TrialAuthority {
	t.Helper()
	trial, err := keys.NewTrialAuthority(t.TempDir(), time.Now(), time.Hour)
	if err != nil {
		t.Fatal(err)
	}
	return trial
}

func issue(t *testing.T, trial *keys.TrialAuthority, role keys.Role, name string) *keys.Keys {
	t.Helper()
	o, err := trial.Issue(keys.Identity{Role: role, Name: name}, time.Hour)
	if err != nil {
		t.Fatal(err)
	}
	k, err := keys.Load(o)
	if err != nil {
		t.Fatal(err)
	}
	return k
}

// TestClientCertificate sends requests with client certificates and an invalid header. Only a request of an
// authenticated team is refused because of that header.
func TestClientCertificate(t *testing.T) {
	trial, other := newTrial(t), newTrial(t)
	r, _ := newCallersRouter(t, caller.Credentials, longTimeout)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	cfg := issue(t, trial, keys.Router, "r").Server(false, keys.Team)
	srv := &http.Server{Handler: r.Handler(), ReadHeaderTimeout: time.Minute}
	go func() { _ = srv.Serve(tls.NewListener(ln, cfg)) }()
	t.Cleanup(func() { _ = srv.Close() })
	tests := []struct {
		name   string
		client *tls.Config
		// reason is empty when the connection must fail.
		reason string
	}{
		{"team", issue(t, trial, keys.Team, "bakery").Client(keys.Router), "bad_header"},
		{"unknown team", issue(t, trial, keys.Team, "x").Client(keys.Router), "certificate_unknown"},
		{"no certificate", &tls.Config{InsecureSkipVerify: true}, "no_credentials"},
		{"other role", issue(t, trial, keys.Agent, "bakery").Client(keys.Router), ""},
		{"other authority", unverified(issue(t, other, keys.Team, "bakery").Client()), ""},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			client := &http.Client{Transport: &http.Transport{TLSClientConfig: tt.client, DisableKeepAlives: true}}
			req := goodRequest(t.Context(), ln.Addr().String())
			req.URL.Scheme = "https"
			req.Header.Del("Authorization")
			req.Header.Set(header.Deadline, "soon")
			got := ""
			if resp, err := client.Do(req); err == nil {
				got = resp.Header.Get(header.Reason)
				_ = resp.Body.Close()
			}
			if got != tt.reason {
				t.Errorf("reason %q, want %q", got, tt.reason)
			}
		})
	}
}

// unverified returns cfg without verification of the server, so that the test sees the server's verification of
// the client.
func unverified(cfg *tls.Config) *tls.Config {
	cfg.VerifyConnection = nil
	return cfg
}

// TestControlInterface checks who can read status and metrics, on the interface for callers and on the control
// interface.
func TestControlInterface(t *testing.T) {
	r, _ := newCallersRouter(t, caller.Credentials, longTimeout)
	r.o.HideMetrics = true
	open := r.ControlHandler()
	r.o.Gate = keys.NewGate(true, nil)
	for _, tt := range []struct {
		name    string
		handler http.Handler
		remote  string
		status  int
	}{
		{"callers", r.Handler(), "127.0.0.1:1", http.StatusNotFound},
		{"operator on loopback without TLS", open, "127.0.0.1:1", http.StatusOK},
		{"elsewhere without TLS", open, "192.0.2.1:1", http.StatusForbidden},
		{"loopback without the required certificate", r.ControlHandler(), "127.0.0.1:1", http.StatusForbidden},
	} {
		for _, path := range []string{"/metrics", status.Path} {
			req := httptest.NewRequest(http.MethodGet, path, http.NoBody)
			req.RemoteAddr = tt.remote
			w := httptest.NewRecorder()
			tt.handler.ServeHTTP(w, req)
			if w.Code != tt.status {
				t.Errorf("%s: %s: status %d, want %d", tt.name, path, w.Code, tt.status)
			}
		}
	}
}
