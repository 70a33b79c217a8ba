// Package site is a library for operators. It builds the configuration of a site from typed values, checks it and
// prints it as the YAML that operators publish.
package site

import (
	"slices"

	"github.com/laburnumring/laburnumring/pkg/place"
	"github.com/laburnumring/laburnumring/pkg/server"
	"github.com/laburnumring/laburnumring/pkg/service"
	"github.com/laburnumring/laburnumring/pkg/team"
)

// Site is one organisation's teams, services, places (data centres) and backend servers. Its methods that add to it
// are not safe for concurrent use; it must not change after it is shared.
type Site struct {
	// name is unique among an operator's sites.
	name string
	// The names in each list are unique in a checked site.
	teams    []team.Team
	services []service.Service
	places   []place.Place
	servers  []server.Server
}

// New returns an empty site called name.
func New(name string) *Site {
	return &Site{name: name}
}

// AddTeams appends teams.
func (s *Site) AddTeams(teams ...team.Team) { s.teams = append(s.teams, teams...) }

// AddServices appends services.
func (s *Site) AddServices(services ...service.Service) { s.services = append(s.services, services...) }

// AddPlaces appends places.
func (s *Site) AddPlaces(places ...place.Place) { s.places = append(s.places, places...) }

// AddServers appends backend servers.
func (s *Site) AddServers(servers ...server.Server) { s.servers = append(s.servers, servers...) }

// Name returns the site's name.
func (s *Site) Name() string { return s.name }

// Teams returns a copy of the site's teams in the order in which they were added.
func (s *Site) Teams() []team.Team { return slices.Clone(s.teams) }

// Services returns a copy of the site's services in the order in which they were added.
func (s *Site) Services() []service.Service { return slices.Clone(s.services) }

// Places returns a copy of the site's places in the order in which they were added.
func (s *Site) Places() []place.Place { return slices.Clone(s.places) }

// Servers returns a copy of the site's backend servers in the order in which they were added.
func (s *Site) Servers() []server.Server { return slices.Clone(s.servers) }

// ServerCount returns how many backend servers the site has.
func (s *Site) ServerCount() int { return len(s.servers) }

// Team returns the team called name.
func (s *Site) Team(name string) (team.Team, bool) {
	i := slices.IndexFunc(s.teams, func(t team.Team) bool { return t.Name() == name })
	if i < 0 {
		return team.Team{}, false
	}
	return s.teams[i], true
}

// TeamByToken returns the team whose token has the given SHA-256 digest in hex.
func (s *Site) TeamByToken(digest string) (team.Team, bool) {
	i := slices.IndexFunc(s.teams, func(t team.Team) bool { return t.TokenSHA256() == digest })
	if i < 0 || digest == "" {
		return team.Team{}, false
	}
	return s.teams[i], true
}

// Service returns the service called name.
func (s *Site) Service(name string) (service.Service, bool) {
	i := slices.IndexFunc(s.services, func(v service.Service) bool { return v.Name() == name })
	if i < 0 {
		return service.Service{}, false
	}
	return s.services[i], true
}

// Place returns the place called name.
func (s *Site) Place(name string) (place.Place, bool) {
	i := slices.IndexFunc(s.places, func(p place.Place) bool { return p.Name() == name })
	if i < 0 {
		return place.Place{}, false
	}
	return s.places[i], true
}

// Server returns the backend server called name.
func (s *Site) Server(name string) (server.Server, bool) {
	i := slices.IndexFunc(s.servers, func(v server.Server) bool { return v.Name() == name })
	if i < 0 {
		return server.Server{}, false
	}
	return s.servers[i], true
}

// ServersOf returns the backend servers of the named service in the order in which they were added.
func (s *Site) ServersOf(service string) []server.Server {
	var out []server.Server
	for _, v := range s.servers {
		if v.Service() == service {
			out = append(out, v)
		}
	}
	return out
}
