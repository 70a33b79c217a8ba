package keys

import (
	"crypto/x509"
	"net/url"
	"strings"
)

// Role is what a certificate's holder is in a site.
type Role string

// The roles.
const (
	// Router is a router towards agents.
	Router Role = "router"
	// Agent is an agent towards routers and other agents.
	Agent Role = "agent"
	// Operator is a person or program that looks at processes and gives them orders.
	Operator Role = "operator"
	// Team is a caller; the name is its team's.
	Team Role = "team"
)

// scheme is the scheme of the URI that names a certificate's holder.
const scheme = "laburnumring"

// Identity is the holder that a certificate names, as the URI laburnumring:ROLE:NAME.
type Identity struct {
	// Role is one of the constants.
	Role Role
	// Name is unique among holders of the role.
	Name string
}

// URI returns the identity as it stands in a certificate.
func (i Identity) URI() *url.URL {
	return &url.URL{Scheme: scheme, Opaque: string(i.Role) + ":" + i.Name}
}

// Valid reports whether r is one of the constants.
func (r Role) Valid() bool {
	switch r {
	case Router, Agent, Operator, Team:
		return true
	}
	return false
}

// IdentityOf returns the holder that a certificate names.
func IdentityOf(cert *x509.Certificate) (Identity, bool) {
	for _, u := range cert.URIs {
		role, name, ok := strings.Cut(u.Opaque, ":")
		if u.Scheme == scheme && ok && Role(role).Valid() {
			return Identity{Role: Role(role), Name: name}, true
		}
	}
	return Identity{}, false
}
