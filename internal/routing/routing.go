// Package routing finds the route, service and team of a request in one version of the configuration.
package routing

import (
	"cmp"
	"net"
	"slices"
	"strings"

	"github.com/laburnumring/laburnumring/pkg/clock"
	"github.com/laburnumring/laburnumring/pkg/route"
)

// Service is what the configuration says of a service.
type Service struct {
	// Name is unique in a configuration.
	Name string
	// MaxConns is the most connections that one server takes from all routers; 0 for no bound.
	MaxConns int
	// Engine says that the servers are model engines.
	Engine bool
	// Slots is the most requests that an engine runs at once; 0 when not said.
	Slots int
	// Memory is how many tokens fit into an engine; 0 when not said.
	Memory int64
	// EventTokens is how many tokens a stream's event holds; 0 when not said.
	EventTokens int
}

// Team is a team with the keys that prove it.
type Team struct {
	Name string
	Keys []string
}

// Limits bound what callers may send.
type Limits struct {
	// HeaderBytes and BodyBytes bound a request's header and body; 0 for no bound.
	HeaderBytes int
	BodyBytes   int64
	// HeaderTimeout bounds the arrival of a header, Idle the pause between requests on a connection.
	HeaderTimeout clock.Millis
	Idle          clock.Millis
	// TokensPerSecond is what all engines together produce: a prompt token counts once, a generated one twice.
	TokensPerSecond float64
}

// Options are the parts of a Table.
type Options struct {
	// Version grows with each change of the configuration.
	Version  int64
	Routes   []route.Route
	Services []Service
	// Teams hold no key twice. Keyed says that requests on routes that are not public need a key.
	Teams  []Team
	Keyed  bool
	Limits Limits
}

// Table is one version of the configuration, indexed. It is not changed after New.
type Table struct {
	version int64
	// hosts holds each host's routes, the longest prefix first.
	hosts    map[string][]route.Route
	services map[string]Service
	// teams holds the team's name by key.
	teams  map[string]string
	keyed  bool
	limits Limits
}

// New indexes a configuration.
func New(o Options) *Table {
	t := &Table{
		version: o.Version, hosts: make(map[string][]route.Route), services: make(map[string]Service),
		teams: make(map[string]string), keyed: o.Keyed, limits: o.Limits,
	}
	for _, r := range o.Routes {
		h := strings.ToLower(r.Host())
		t.hosts[h] = append(t.hosts[h], r)
	}
	for _, routes := range t.hosts {
		slices.SortStableFunc(routes, func(a, b route.Route) int {
			return cmp.Compare(len(b.Prefix()), len(a.Prefix()))
		})
	}
	for _, s := range o.Services {
		t.services[s.Name] = s
	}
	for _, v := range o.Teams {
		for _, k := range v.Keys {
			t.teams[k] = v.Name
		}
	}
	return t
}

// Version returns the configuration's version.
func (t *Table) Version() int64 { return t.version }

// Limits returns what callers may send.
func (t *Table) Limits() Limits { return t.limits }

// Keyed reports whether requests need a key on routes that are not public.
func (t *Table) Keyed() bool { return t.keyed }

// Route returns the route for a request: the longest prefix among those of its host, which may have a port.
func (t *Table) Route(host, path string) (route.Route, bool) {
	if h, _, err := net.SplitHostPort(host); err == nil {
		host = h
	}
	for _, r := range t.hosts[strings.ToLower(host)] {
		if strings.HasPrefix(path, r.Prefix()) {
			return r, true
		}
	}
	return route.Route{}, false
}

// Service returns the service called name.
func (t *Table) Service(name string) (Service, bool) {
	s, ok := t.services[name]
	return s, ok
}

// Team returns the name of the team that key proves.
func (t *Table) Team(key string) (string, bool) {
	name, ok := t.teams[key]
	return name, ok && key != ""
}
