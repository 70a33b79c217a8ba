package caller_test

import (
	"crypto/sha256"
	"crypto/tls"
	"crypto/x509"
	"encoding/hex"
	"errors"
	"net/http"
	"net/http/httptest"
	"net/url"
	"testing"

	"github.com/laburnumring/laburnumring/internal/caller"
	"github.com/laburnumring/laburnumring/internal/keys"
	"github.com/laburnumring/laburnumring/pkg/header"
	"github.com/laburnumring/laburnumring/pkg/site"
	"github.com/laburnumring/laburnumring/pkg/team"
)

func newSite(token string) *site.Site {
	digest := sha256.Sum256([]byte(token))
	s := site.New("s")
	s.AddTeams(team.New("brokers", team.Options{TokenSHA256: hex.EncodeToString(digest[:])}), team.New("bakery", team.Options{}))
	return s
}

// TestTeam names and proves teams in all ways, in both modes.
func TestTeam(t *testing.T) {
	tests := []struct {
		name          string
		mode          caller.Mode
		authorization string
		header        string
		holder        keys.Identity
		team, reason  string
	}{
		{name: "token", authorization: "Bearer secret", team: "brokers"},
		{name: "token and its own team's name", authorization: "bearer secret", header: "brokers", team: "brokers"},
		{name: "token and another team's name", authorization: "Bearer secret", header: "bakery", reason: "team_mismatch"},
		{name: "name alone", header: "brokers", reason: "no_credentials"},
		{name: "wrong token", authorization: "Bearer secreT", reason: "token_unknown"},
		{name: "empty token while a team has no token", authorization: "Bearer ", reason: "token_unknown"},
		{name: "wrong scheme", authorization: "Basic secret", reason: "no_credentials"},
		{name: "wrong token and a certificate", authorization: "Bearer x", holder: keys.Identity{Role: keys.Team, Name: "bakery"}, reason: "token_unknown"},
		{name: "certificate", holder: keys.Identity{Role: keys.Team, Name: "bakery"}, team: "bakery"},
		{name: "certificate of another role", holder: keys.Identity{Role: keys.Router, Name: "bakery"}, reason: "certificate_unknown"},
		{name: "certificate of an unknown team", holder: keys.Identity{Role: keys.Team, Name: "x"}, reason: "certificate_unknown"},
		{name: "header mode", mode: caller.TeamHeader, header: "bakery", team: "bakery"},
		{name: "header mode, unknown", mode: caller.TeamHeader, header: "x", reason: "team_unknown"},
		{name: "header mode, none", mode: caller.TeamHeader, authorization: "Bearer secret", reason: "team_unknown"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			r := httptest.NewRequest(http.MethodPost, "/", nil)
			r.Header.Set("Authorization", tt.authorization)
			r.Header.Set(header.Team, tt.header)
			if tt.holder.Role != "" {
				r.TLS = &tls.ConnectionState{PeerCertificates: []*x509.Certificate{{URIs: []*url.URL{tt.holder.URI()}}}}
			}
			got, err := caller.New(tt.mode).Team(newSite("secret"), r)
			var authErr *caller.Error
			reason := ""
			if errors.As(err, &authErr) {
				reason = authErr.Reason
			}
			if reason != tt.reason || got.Name() != tt.team {
				t.Errorf("team %q, reason %q; want %q, %q", got.Name(), reason, tt.team, tt.reason)
			}
		})
	}
}

// TestTokenOfNewConfiguration checks that a token stops working when a new configuration replaces its digest.
func TestTokenOfNewConfiguration(t *testing.T) {
	a := caller.New(caller.Credentials)
	r := httptest.NewRequest(http.MethodPost, "/", nil)
	r.Header.Set("Authorization", "Bearer old")
	if _, err := a.Team(newSite("old"), r); err != nil {
		t.Fatal(err)
	}
	if _, err := a.Team(newSite("new"), r); err == nil {
		t.Error("a replaced token is still accepted")
	}
}
