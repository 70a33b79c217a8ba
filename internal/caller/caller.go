// Package caller determines which team sent a request to a router. Callers are the teams' client programs.
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

// Mode says how callers prove their team.
type Mode int

// The authentication modes.
const (
	// Credentials requires a bearer token or a verified client certificate.
	Credentials Mode = iota + 1
	// TeamHeader trusts the team header without further proof.
	TeamHeader
)

// Error reports a request that could not be attributed to a team.
type Error struct {
	// Reason is a single word and Detail a sentence.
	Reason string
	Detail string
	// Forbidden reports whether the request is refused because of the team that it names, and not because
	// credentials are missing or unknown.
	Forbidden bool
}

// Error implements error.
func (e *Error) Error() string { return e.Reason + ": " + e.Detail }

// Authenticator determines callers' teams. It is safe for concurrent use.
type Authenticator struct {
	mode Mode

	mu sync.Mutex
	// site is the configuration from which byDigest was built.
	site *site.Site
	// byDigest holds the teams that have a token, by the token's SHA-256 digest.
	byDigest map[[sha256.Size]byte]team.Team
}

// New returns an authenticator. The mode defaults to Credentials when zero.
func New(mode Mode) *Authenticator {
	return &Authenticator{mode: mode}
}

// Team returns the team of site s that sent r. Its errors are of type *Error.
func (a *Authenticator) Team(s *site.Site, r *http.Request) (team.Team, error) {
	claimed := r.Header.Get(header.Team)
	if a.mode == TeamHeader {
		t, ok := s.Team(claimed)
		if !ok {
			return team.Team{}, &Error{Reason: "team_unknown", Detail: header.Team + " names no team of this site", Forbidden: true}
		}
		return t, nil
	}
	t, err := a.byCredentials(s, r)
	if err != nil {
		return team.Team{}, err
	}
	if claimed != "" && claimed != t.Name() {
		return team.Team{}, &Error{Reason: "team_mismatch", Detail: header.Team + " names another team than the credentials", Forbidden: true}
	}
	return t, nil
}

// byCredentials returns the team of the request's bearer token or client certificate. The certificate counts
// only without a token.
func (a *Authenticator) byCredentials(s *site.Site, r *http.Request) (team.Team, error) {
	if token, ok := bearerToken(r); ok {
		t, ok := a.byToken(s, token)
		if !ok {
			return team.Team{}, &Error{Reason: "token_unknown", Detail: "the bearer token is no team's of this site"}
		}
		return t, nil
	}
	if id, ok := certificateIdentity(r); ok {
		t, ok := s.Team(id.Name)
		if !ok || id.Role != keys.Team {
			return team.Team{}, &Error{Reason: "certificate_unknown", Detail: "the client certificate names no team of this site"}
		}
		return t, nil
	}
	return team.Team{}, &Error{Reason: "no_credentials", Detail: "Authorization: Bearer TOKEN or a client certificate is required"}
}

// byToken returns the team with the given token. It looks the token up by its digest, so that the token itself
// is never compared.
func (a *Authenticator) byToken(s *site.Site, token string) (team.Team, bool) {
	digest := sha256.Sum256([]byte(token))
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.site != s {
		a.site = s
		a.byDigest = teamsByDigest(s)
	}
	t, ok := a.byDigest[digest]
	return t, ok
}

func teamsByDigest(s *site.Site) map[[sha256.Size]byte]team.Team {
	out := make(map[[sha256.Size]byte]team.Team)
	for _, t := range s.Teams() {
		var d [sha256.Size]byte
		if n, err := hex.Decode(d[:], []byte(t.TokenSHA256())); err == nil && n == len(d) {
			out[d] = t
		}
	}
	return out
}

// bearerToken returns the bearer token in the request's Authorization header.
func bearerToken(r *http.Request) (string, bool) {
	scheme, token, ok := strings.Cut(r.Header.Get("Authorization"), " ")
	return strings.TrimSpace(token), ok && strings.EqualFold(scheme, "bearer")
}

// certificateIdentity returns the identity in the client certificate, which the listener has already verified.
func certificateIdentity(r *http.Request) (keys.Identity, bool) {
	if r.TLS == nil || len(r.TLS.PeerCertificates) == 0 {
		return keys.Identity{}, false
	}
	return keys.IdentityOf(r.TLS.PeerCertificates[0])
}
