package keys

import (
	"crypto/x509"
	"net/url"
	"strings"
)

// Role is the part that the holder of a certificate plays in a site.
type Role string

// The roles.
const (
	// Router is a router, which connects to agents.
	Router Role = "router"
	// Agent is an agent, which accepts routers and connects to other agents.
	Agent Role = "agent"
	// Operator is a person or program that reads the status of processes and gives orders to agents.
	Operator Role = "operator"
	// Team is a caller; the name in its certificate is that of its team.
	Team Role = "team"
)

// scheme is the scheme of the URI that identifies a certificate's holder.
const scheme = "laburnumring"

// Identity is the holder of a certificate. The certificate contains it as the URI laburnumring:ROLE:NAME.
type Identity struct {
	// Role is one of the constants.
	Role Role
	// Name is unique among the holders of the role.
	Name string
}

// URI returns the identity in the form used in certificates.
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

// IdentityOf returns the identity in a certificate, and whether there is one with a valid role.
func IdentityOf(cert *x509.Certificate) (Identity, bool) {
	for _, u := range cert.URIs {
		role, name, ok := strings.Cut(u.Opaque, ":")
		if u.Scheme == scheme && ok && Role(role).Valid() {
			return Identity{Role: Role(role), Name: name}, true
		}
	}
	return Identity{}, false
}
