package agent_test

import (
	"crypto/tls"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/laburnumring/laburnumring/internal/agent"
	"github.com/laburnumring/laburnumring/internal/event"
	"github.com/laburnumring/laburnumring/internal/keys"
	"github.com/laburnumring/laburnumring/internal/peer"
	"github.com/laburnumring/laburnumring/internal/status"
	"github.com/laburnumring/laburnumring/internal/traffic"
	"github.com/laburnumring/laburnumring/internal/wallclock"
	"github.com/laburnumring/laburnumring/pkg/server"
)

// secureAgent serves the HTTP API of an agent whose loops do not run. It accepts TLS clients of the trial's
// certificate authority.
func secureAgent(t *testing.T, trial *keys.TrialAuthority) string {
	t.Helper()
	a, err := agent.New(agent.Options{
		Server:     server.New("model-1", server.Options{}),
		Clock:      wallclock.New(),
		Logger:     event.NewLogger(io.Discard, "", "agent"),
		LogTraffic: &traffic.Counter{},
		Gate:       keys.NewGate(true, nil),
	})
	if err != nil {
		t.Fatal(err)
	}
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	cfg := issue(t, trial, keys.Agent, "model-1").Server(true, keys.Router, keys.Agent, keys.Operator)
	srv := &http.Server{Handler: a.Handler(), ReadHeaderTimeout: time.Minute}
	go func() { _ = srv.Serve(tls.NewListener(ln, cfg)) }()
	t.Cleanup(func() { _ = srv.Close() })
	return ln.Addr().String()
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

// TestRolesOfCalls requests each of the agent's paths as each role. Status 400 or 405 shows that the request passed
// the role check.
func TestRolesOfCalls(t *testing.T) {
	trial, err := keys.NewTrialAuthority(t.TempDir(), time.Now(), time.Hour)
	if err != nil {
		t.Fatal(err)
	}
	address := secureAgent(t, trial)
	tests := []struct {
		path   string
		status map[keys.Role]int
	}{
		{peer.RPCPath, map[keys.Role]int{keys.Router: 405, keys.Agent: 405, keys.Operator: 403}},
		{peer.OperatorPath, map[keys.Role]int{keys.Router: 403, keys.Agent: 403, keys.Operator: 405}},
		{peer.StartPath, map[keys.Role]int{keys.Router: 400, keys.Agent: 403, keys.Operator: 403}},
		{peer.ReattachPath, map[keys.Role]int{keys.Router: 400, keys.Agent: 403, keys.Operator: 403}},
		{status.Path, map[keys.Role]int{keys.Router: 403, keys.Agent: 403, keys.Operator: 200}},
	}
	for _, tt := range tests {
		for role, want := range tt.status {
			client := &http.Client{Transport: &http.Transport{TLSClientConfig: issue(t, trial, role, "x").Client(keys.Agent)}}
			resp, err := client.Post("https://"+address+tt.path, "", strings.NewReader("?"))
			if err != nil {
				t.Fatal(err)
			}
			_ = resp.Body.Close()
			client.CloseIdleConnections()
			if resp.StatusCode != want {
				t.Errorf("%s as %s: status %d, want %d", tt.path, role, resp.StatusCode, want)
			}
		}
	}
	team := &http.Client{Transport: &http.Transport{TLSClientConfig: issue(t, trial, keys.Team, "x").Client(keys.Agent)}}
	if resp, err := team.Get("https://" + address + "/healthz"); err == nil {
		_ = resp.Body.Close()
		t.Error("a caller's certificate was accepted")
	}
}

// TestStatusReport reads the agent's status report as an operator, and is refused as a router.
func TestStatusReport(t *testing.T) {
	trial, err := keys.NewTrialAuthority(t.TempDir(), time.Now(), time.Hour)
	if err != nil {
		t.Fatal(err)
	}
	address := []string{secureAgent(t, trial)}
	reader := status.NewReader(issue(t, trial, keys.Operator, "x").Client(keys.Agent), time.Minute)
	reports, missing := reader.Read(t.Context(), address)
	if len(missing) > 0 || len(reports) != 1 || reports[0].Name != "model-1" || reports[0].State != status.Down {
		t.Errorf("reports %+v, missing %+v", reports, missing)
	}
	reader = status.NewReader(issue(t, trial, keys.Router, "x").Client(keys.Agent), time.Minute)
	if _, missing := reader.Read(t.Context(), address); len(missing) != 1 || missing[0].Problem != "status 403" {
		t.Errorf("missing %+v", missing)
	}
}

// TestCallsByRole makes each net/rpc call as each role. Calls of other roles must not exist.
func TestCallsByRole(t *testing.T) {
	trial, err := keys.NewTrialAuthority(t.TempDir(), time.Now(), time.Hour)
	if err != nil {
		t.Fatal(err)
	}
	address := secureAgent(t, trial)
	own := map[keys.Role][]string{
		keys.Router:   {"Hello", "Exchange", "Offers", "WithdrawOffer", "Configuration", "AdoptConfiguration"},
		keys.Agent:    {"Share", "Configuration"},
		keys.Operator: {"Order"},
	}
	all := slices.Concat(own[keys.Router], own[keys.Agent], own[keys.Operator])
	for role, allowed := range own {
		dial, service := peer.Dial, peer.Service
		if role == keys.Operator {
			dial, service = peer.DialOperator, peer.OperatorService
		}
		client, err := dial(t.Context(), address, issue(t, trial, role, "x").Client(keys.Agent), &traffic.Counter{})
		if err != nil {
			t.Fatal(err)
		}
		for _, call := range all {
			err := client.Call(service+"."+call, struct{}{}, &struct{}{})
			missing := err != nil && strings.Contains(err.Error(), "can't find")
			if missing == slices.Contains(allowed, call) {
				t.Errorf("%s as %s: error %v", call, role, err)
			}
		}
		_ = client.Close()
	}
}
