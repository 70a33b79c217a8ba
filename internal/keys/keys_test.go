package keys_test

import (
	"crypto/tls"
	"errors"
	"io"
	"net"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/laburnumring/laburnumring/internal/keys"
)

const validity = time.Hour

// trialSite is a site with its own trial authority. All certificates are issued at a fixed time.
type trialSite struct {
	t     *testing.T
	now   time.Time
	trial *keys.TrialAuthority
}

func newTrialSite(t *testing.T, now time.Time) trialSite {
	t.Helper()
	trial, err := keys.NewTrialAuthority(t.TempDir(), now, 100*validity)
	if err != nil {
		t.Fatal(err)
	}
	return trialSite{t: t, now: now, trial: trial}
}

// issue issues a certificate and returns its options with a clock that stands at the time at.
func (s trialSite) issue(role keys.Role, name string, at time.Time) keys.Options {
	s.t.Helper()
	o, err := s.trial.Issue(keys.Identity{Role: role, Name: name}, validity)
	if err != nil {
		s.t.Fatal(err)
	}
	o.Now = func() time.Time { return at }
	return o
}

func load(t *testing.T, o keys.Options) *keys.Keys {
	t.Helper()
	k, err := keys.Load(o)
	if err != nil {
		t.Fatal(err)
	}
	return k
}

// connect makes one connection, sends a byte in each direction and returns the first error of each side.
func connect(t testing.TB, server, client *tls.Config) (serverErr, clientErr error) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = ln.Close() }()
	done := make(chan error, 1)
	go func() { done <- acceptOne(ln, server) }()
	conn, clientErr := tls.Dial("tcp", ln.Addr().String(), client)
	if clientErr == nil {
		defer func() { _ = conn.Close() }()
		_, clientErr = conn.Write([]byte{1})
	}
	if clientErr == nil {
		_, clientErr = io.ReadFull(conn, make([]byte, 1))
	}
	return <-done, clientErr
}

// acceptOne accepts one connection, reads a byte and sends one back.
func acceptOne(ln net.Listener, cfg *tls.Config) error {
	conn, err := ln.Accept()
	if err != nil {
		return err
	}
	defer func() { _ = conn.Close() }()
	secured := tls.Server(conn, cfg)
	if _, err := io.CopyN(io.Discard, secured, 1); err != nil {
		return err
	}
	_, err = secured.Write([]byte{1})
	return err
}

// TestHandshake connects clients with valid and invalid certificates to listeners, and checks which side refuses the
// connection and why.
func TestHandshake(t *testing.T) {
	now := time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)
	own, other := newTrialSite(t, now), newTrialSite(t, now)
	server := load(t, own.issue(keys.Agent, "model-1", now)).Server(true, keys.Router, keys.Agent)
	expired := load(t, own.issue(keys.Agent, "model-2", now.Add(2*validity))).Server(true, keys.Router)
	router := load(t, own.issue(keys.Router, "router-1", now)).Client(keys.Agent)
	old := load(t, own.issue(keys.Router, "router-2", now))
	late := own.issue(keys.Agent, "model-3", now.Add(2*validity))
	tests := []struct {
		name   string
		server *tls.Config
		client *tls.Config
		// refused is a substring of the refusing side's error, empty if the connection is accepted. byClient is set if
		// the client is the side that refuses.
		refused  string
		byClient bool
	}{
		{name: "router of the site", server: server, client: router},
		{name: "no certificate", server: server, client: &tls.Config{InsecureSkipVerify: true}, refused: "didn't provide a certificate"},
		{name: "other authority", server: server, client: load(t, other.issue(keys.Router, "router-1", now)).Client(keys.Agent), refused: "unknown authority", byClient: true},
		{name: "other authority, server unchecked", server: server, client: withoutServerCheck(load(t, other.issue(keys.Router, "router-1", now))), refused: "unknown authority"},
		{name: "wrong role", server: server, client: load(t, own.issue(keys.Team, "brokers", now)).Client(keys.Agent), refused: "the role may not connect here"},
		{name: "expired certificate", server: load(t, late).Server(true, keys.Router), client: withoutServerCheck(old), refused: "expired"},
		{name: "expired certificate of the server", server: expired, client: load(t, own.issue(keys.Router, "router-3", now.Add(2*validity))).Client(keys.Agent), refused: "expired", byClient: true},
		{name: "server of the wrong role", server: load(t, own.issue(keys.Router, "router-4", now)).Server(true, keys.Router), client: router, refused: "the role may not connect here", byClient: true},
		{name: "old protocol version", server: server, client: &tls.Config{InsecureSkipVerify: true, MaxVersion: tls.VersionTLS12}, refused: "unsupported versions"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			err, clientErr := connect(t, tt.server, tt.client)
			if tt.byClient {
				err = clientErr
			}
			if tt.refused == "" && (err != nil || clientErr != nil) {
				t.Fatalf("refused: %v, %v", err, clientErr)
			}
			if tt.refused != "" && (err == nil || !strings.Contains(err.Error(), tt.refused)) {
				t.Fatalf("error %v, want one with %q", err, tt.refused)
			}
		})
	}
}

// withoutServerCheck returns the configuration of a client that trusts any server, so that only the server's check
// applies.
func withoutServerCheck(k *keys.Keys) *tls.Config {
	cfg := k.Client()
	cfg.VerifyConnection = nil
	return cfg
}

// TestKeyRotation replaces the key files of both sides while their TLS configurations stay in use. An invalid file must
// leave the previous keys in use.
func TestKeyRotation(t *testing.T) {
	now := time.Now()
	before := newTrialSite(t, now)
	so, co := before.issue(keys.Agent, "model-1", now), before.issue(keys.Router, "router-1", now)
	s, c := load(t, so), load(t, co)
	server, client := s.Server(true, keys.Router), c.Client(keys.Agent)
	if a, b := connect(t, server, client); a != nil || b != nil {
		t.Fatal(a, b)
	}
	after := newTrialSite(t, now)
	replaceFiles(t, so, after.issue(keys.Agent, "model-1", now))
	reload(t, s)
	if a, b := connect(t, server, client); a == nil && b == nil {
		t.Fatal("a router with a certificate of the former authority was accepted")
	}
	replaceFiles(t, co, after.issue(keys.Router, "router-1", now))
	reload(t, c)
	if a, b := connect(t, server, client); a != nil || b != nil {
		t.Fatal("the new keys are not in use:", a, b)
	}
	if err := os.WriteFile(so.Key, []byte("half a ke"), 0o600); err != nil {
		t.Fatal(err)
	}
	var file *keys.FileError
	if _, err := s.Reload(); !errors.As(err, &file) {
		t.Fatalf("error %v, want a *keys.FileError", err)
	}
	if a, b := connect(t, server, client); a != nil || b != nil {
		t.Fatal("the previous keys are not in use:", a, b)
	}
}

func replaceFiles(t *testing.T, old, with keys.Options) {
	t.Helper()
	for from, to := range map[string]string{
		with.Certificate: old.Certificate, with.Key: old.Key, with.Authority: old.Authority,
	} {
		data, err := os.ReadFile(from)
		if err != nil {
			t.Fatal(err)
		}
		if err := os.WriteFile(to, data, 0o600); err != nil {
			t.Fatal(err)
		}
	}
}

func reload(t *testing.T, k *keys.Keys) {
	t.Helper()
	if changed, err := k.Reload(); !changed || err != nil {
		t.Fatalf("changed %t, error %v", changed, err)
	}
	if changed, err := k.Reload(); changed || err != nil {
		t.Fatalf("unchanged files: changed %t, error %v", changed, err)
	}
}

// TestFileModes checks that other users have no access to key files.
func TestFileModes(t *testing.T) {
	o := newTrialSite(t, time.Now()).issue(keys.Router, "router-1", time.Now())
	for _, file := range []string{o.Certificate, o.Key, o.Authority, strings.TrimSuffix(o.Authority, "crt") + "key"} {
		info, err := os.Stat(file)
		if err != nil {
			t.Fatal(err)
		}
		if info.Mode().Perm() != 0o600 {
			t.Errorf("%s has mode %o", file, info.Mode().Perm())
		}
	}
}

// BenchmarkHandshake measures a connection with mutual TLS and both sides in this process.
func BenchmarkHandshake(b *testing.B) {
	now := time.Now()
	trial, err := keys.NewTrialAuthority(b.TempDir(), now, validity)
	if err != nil {
		b.Fatal(err)
	}
	var cfg [2]*tls.Config
	for i, role := range []keys.Role{keys.Agent, keys.Router} {
		o, err := trial.Issue(keys.Identity{Role: role, Name: "x"}, validity)
		if err != nil {
			b.Fatal(err)
		}
		k, err := keys.Load(o)
		if err != nil {
			b.Fatal(err)
		}
		cfg[i] = [...]*tls.Config{k.Server(true, keys.Router), k.Client(keys.Agent)}[i]
	}
	for b.Loop() {
		if a, c := connect(b, cfg[0], cfg[1]); a != nil || c != nil {
			b.Fatal(a, c)
		}
	}
}
