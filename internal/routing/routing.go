// Package routing looks up the route, service and team of a request in one version of the configuration.
package routing

import (
	"cmp"
	"net"
	"slices"
	"strings"

	"github.com/laburnumring/laburnumring/pkg/clock"
	"github.com/laburnumring/laburnumring/pkg/route"
)

// Service is the configuration of a service.
type Service struct {
	// Name is unique in a configuration.
	Name string
	// MaxConns is the largest number of connections that one server accepts from all routers; 0 for no limit.
	MaxConns int
	// IsEngine is set when the servers are model engines.
	IsEngine bool
	// Slots is the largest number of requests that an engine runs at once; 0 if not configured.
	Slots int
	// KVTokens is the capacity of an engine's KV cache in tokens; 0 if not configured.
	KVTokens int64
	// EventTokens is the number of tokens in an event of a stream; 0 if not configured.
	EventTokens int
}

// Team is a team and the API keys that authenticate it.
type Team struct {
	Name string
	Keys []string
}

// Limits holds the limits on what callers send.
type Limits struct {
	// HeaderBytes and BodyBytes limit the size of a request's header and body; 0 for no limit.
	HeaderBytes int
	BodyBytes   int64
	// HeaderTimeout limits the time in which a header must arrive, and IdleTimeout the pause between two requests on a
	// connection.
	HeaderTimeout clock.Millis
	IdleTimeout   clock.Millis
	// TokensPerSecond is the capacity of all engines together: a prompt token counts once and a generated token
	// twice.
	TokensPerSecond float64
}

// Options holds the contents of a Table.
type Options struct {
	// Version increases with each change of the configuration.
	Version  int64
	Routes   []route.Route
	Services []Service
	// Teams must not contain a key twice. RequireKey is set when requests need a key, except on public routes.
	Teams      []Team
	RequireKey bool
	Limits     Limits
}

// Table is an index of one version of the configuration. It does not change after New.
type Table struct {
	version int64
	// routesByHost holds the routes of each host, the longest prefix first.
	routesByHost map[string][]route.Route
	services     map[string]Service
	// pauseGoals holds the shortest pause goal of the routes to a service; services without any are missing.
	pauseGoals map[string]clock.Millis
	// teamByKey holds the name of the team of each key.
	teamByKey  map[string]string
	requireKey bool
	limits     Limits
}

// New returns the index of a configuration.
func New(o Options) *Table {
	t := &Table{
		version: o.Version, routesByHost: make(map[string][]route.Route), services: make(map[string]Service),
		pauseGoals: make(map[string]clock.Millis),
		teamByKey:  make(map[string]string), requireKey: o.RequireKey, limits: o.Limits,
	}
	for _, r := range o.Routes {
		h := strings.ToLower(r.Host())
		t.routesByHost[h] = append(t.routesByHost[h], r)
		for _, target := range r.Targets() {
			if goal := r.PauseGoal(); goal > 0 && r.Stream() {
				t.pauseGoals[target.Service] = min(goal, cmp.Or(t.pauseGoals[target.Service], goal))
			}
		}
	}
	for _, routes := range t.routesByHost {
		slices.SortStableFunc(routes, func(a, b route.Route) int {
			return cmp.Compare(len(b.Prefix()), len(a.Prefix()))
		})
	}
	for _, s := range o.Services {
		t.services[s.Name] = s
	}
	for _, v := range o.Teams {
		for _, k := range v.Keys {
			t.teamByKey[k] = v.Name
		}
	}
	return t
}

// Version returns the version of the configuration.
func (t *Table) Version() int64 { return t.version }

// Limits returns the limits on what callers send.
func (t *Table) Limits() Limits { return t.limits }

// RequiresKey reports whether requests need a key, except on public routes.
func (t *Table) RequiresKey() bool { return t.requireKey }

// Route returns the route with the longest matching prefix among those of the request's host. The host may include a
// port.
func (t *Table) Route(host, path string) (route.Route, bool) {
	if h, _, err := net.SplitHostPort(host); err == nil {
		host = h
	}
	for _, r := range t.routesByHost[strings.ToLower(host)] {
		if strings.HasPrefix(path, r.Prefix()) {
			return r, true
		}
	}
	return route.Route{}, false
}

// LongestTimeout returns the longest timeout of the routes; 0 if one has none.
func (t *Table) LongestTimeout() clock.Millis {
	longest := clock.Millis(0)
	for _, routes := range t.routesByHost {
		for _, r := range routes {
			if r.Timeout() == 0 {
				return 0
			}
			longest = max(longest, r.Timeout())
		}
	}
	return longest
}

// Service returns the service with the given name.
func (t *Table) Service(name string) (Service, bool) {
	s, ok := t.services[name]
	return s, ok
}

// PauseGoal returns the shortest pause goal of the streams that run at a service; 0 if none has a pause goal.
func (t *Table) PauseGoal(service string) clock.Millis { return t.pauseGoals[service] }

// Team returns the name of the team that the key authenticates.
func (t *Table) Team(key string) (string, bool) {
	name, ok := t.teamByKey[key]
	return name, ok && key != ""
}
