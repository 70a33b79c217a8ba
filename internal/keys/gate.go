package keys

import (
	"net/http"
	"net/netip"
	"slices"
)

// Gate lets holders of a role use an HTTP handler. A nil Gate is one without certificates.
type Gate struct {
	// secure says that the listener demands certificates; without, only loopback is let in.
	secure bool
	// refused is told of each refusal; it may be nil.
	refused func(*http.Request, error)
}

// NewGate returns a gate. When secure is false there are no certificates and everyone on loopback is let in.
func NewGate(secure bool, refused func(*http.Request, error)) *Gate {
	return &Gate{secure: secure, refused: refused}
}

// Allow returns h for holders of one of the roles; others get status 403.
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

// check trusts the listener to have verified the certificate.
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
