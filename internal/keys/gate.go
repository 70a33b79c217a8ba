package keys

import (
	"net/http"
	"net/netip"
	"slices"
)

// Gate restricts HTTP handlers to clients with certain roles. A nil Gate works without certificates: it admits any
// client on loopback.
type Gate struct {
	// secure is set when the listener requires client certificates. Otherwise only clients on loopback are admitted.
	secure bool
	// refused is called for each refused request; it may be nil.
	refused func(*http.Request, error)
}

// NewGate returns a gate that calls refused, unless nil, for each refused request. When secure is false it doesn't
// check certificates and admits any client on loopback.
func NewGate(secure bool, refused func(*http.Request, error)) *Gate {
	return &Gate{secure: secure, refused: refused}
}

// Allow returns a handler that serves clients with one of the roles by h and answers others with status 403.
func (g *Gate) Allow(h http.Handler, roles ...Role) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if err := g.check(r, roles); err != nil {
			if g != nil && g.refused != nil {
				g.refused(r, err)
			}
			http.Error(w, err.Error(), http.StatusForbidden)
			return
		}
		h.ServeHTTP(w, r)
	})
}

// check returns an error of type *UntrustedError if the client may not send r. It relies on the listener to have
// verified the certificate.
func (g *Gate) check(r *http.Request, roles []Role) error {
	if g == nil || !g.secure {
		a, err := netip.ParseAddrPort(r.RemoteAddr)
		if err != nil || !a.Addr().Unmap().IsLoopback() {
			return &UntrustedError{Problem: "without certificates only loopback may connect"}
		}
		return nil
	}
	if r.TLS == nil || len(r.TLS.PeerCertificates) == 0 {
		return &UntrustedError{Problem: "there is none"}
	}
	id, _ := IdentityOf(r.TLS.PeerCertificates[0])
	if !slices.Contains(roles, id.Role) {
		return &UntrustedError{Identity: id, Problem: "the role may not do this"}
	}
	return nil
}
