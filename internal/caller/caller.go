// Package caller establishes which team sent a request.
package caller

import (
	"crypto/sha256"
	"encoding/hex"
	"net/http"
	"strings"
	"sync"

	"github.com/laburnumring/laburnumring/internal/keys"
	"github.com/laburnumring/laburnumring/pkg/header"
	"github.com/laburnumring/laburnumring/pkg/site"
	"github.com/laburnumring/laburnumring/pkg/team"
)

// Mode says what proves a team.
type Mode int

// The modes.
const (
	// Proof takes a bearer token or a verified client certificate.
	Proof Mode = iota + 1
	// Header believes the team header.
	Header
)

// Error reports a request whose team is not established.
type Error struct {
	// Reason is one word and Detail a sentence.
	Reason string
	Detail string
	// Known says that the caller proved a team, but not the one that it names.
	Known bool
}

// Error implements error.
func (e *Error) Error() string { return e.Reason + ": " + e.Detail }

// Authenticator establishes teams. It is safe for concurrent use.
type Authenticator struct {
	mode Mode

	mu sync.Mutex
	// site is the configuration that byDigest was made from.
	site *site.Site
	// byDigest holds the teams with a token by the token's SHA-256.
	byDigest map[[sha256.Size]byte]team.Team
}

// New returns an authenticator; the mode is Proof when zero.
func New(mode Mode) *Authenticator {
	return &Authenticator{mode: mode}
}

// Team returns the team of s that sent r. Its errors are of type *Error.
func (a *Authenticator) Team(s *site.Site, r *http.Request) (team.Team, error) {
	named := r.Header.Get(header.Team)
	if a.mode == Header {
		t, ok := s.Team(named)
		if !ok {
			return team.Team{}, &Error{Reason: "team_unknown", Detail: header.Team + " names no team of this site", Known: true}
		}
		return t, nil
	}
	t, err := a.proved(s, r)
	if err != nil {
		return team.Team{}, err
	}
	if named != "" && named != t.Name() {
		return team.Team{}, &Error{Reason: "team_mismatch", Detail: header.Team + " names another team than the credentials", Known: true}
	}
	return t, nil
}

// proved returns the team of the request's token or certificate; a token goes first.
func (a *Authenticator) proved(s *site.Site, r *http.Request) (team.Team, error) {
	if token, ok := bearer(r); ok {
		t, ok := a.byToken(s, token)
		if !ok {
			return team.Team{}, &Error{Reason: "token_unknown", Detail: "the bearer token is no team's of this site"}
		}
		return t, nil
	}
	if id, ok := certified(r); ok {
		t, ok := s.Team(id.Name)
		if !ok || id.Role != keys.Team {
			return team.Team{}, &Error{Reason: "certificate_unknown", Detail: "the client certificate names no team of this site"}
		}
		return t, nil
	}
	return team.Team{}, &Error{Reason: "no_credentials", Detail: "Authorization: Bearer TOKEN or a client certificate is required"}
}

// byToken finds a team by the digest of its token, so that no comparison touches the token itself.
func (a *Authenticator) byToken(s *site.Site, token string) (team.Team, bool) {
	digest := sha256.Sum256([]byte(token))
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.site != s {
		a.site = s
		a.byDigest = digests(s)
	}
	t, ok := a.byDigest[digest]
	return t, ok
}

func digests(s *site.Site) map[[sha256.Size]byte]team.Team {
	out := make(map[[sha256.Size]byte]team.Team)
	for _, t := range s.Teams() {
		var d [sha256.Size]byte
		if n, err := hex.Decode(d[:], []byte(t.TokenSHA256())); err == nil && n == len(d) {
			out[d] = t
		}
	}
	return out
}

// bearer returns the request's bearer token.
func bearer(r *http.Request) (string, bool) {
	scheme, token, ok := strings.Cut(r.Header.Get("Authorization"), " ")
	return strings.TrimSpace(token), ok && strings.EqualFold(scheme, "bearer")
}

// certified returns the holder of the client certificate that the listener verified.
func certified(r *http.Request) (keys.Identity, bool) {
	if r.TLS == nil || len(r.TLS.PeerCertificates) == 0 {
		return keys.Identity{}, false
	}
	return keys.IdentityOf(r.TLS.PeerCertificates[0])
}
