package status

import (
	"cmp"
	"slices"

	"github.com/laburnumring/laburnumring/pkg/clock"
)

// Missing is a process whose report could not be read.
type Missing struct {
	Address string `json:"address"`
	Problem string `json:"problem"`
}

// Version counts the processes that have one version of the configuration in force.
type Version struct {
	Version   int64 `json:"version"`
	Processes int   `json:"processes"`
	// AgeMs is how long the last of the processes to switch to the version has had it.
	AgeMs clock.Millis `json:"age_ms"`
	// Examples names up to 3 of the processes when the version is not the newest.
	Examples []string `json:"examples,omitempty"`
}

// Service summarizes the servers of one service.
type Service struct {
	Service string `json:"service"`
	Servers int    `json:"servers"`
	// Ready, Leaving and Absent count the servers by state. Absent counts those in any other state, such as down or
	// silent.
	Ready   int `json:"ready"`
	Leaving int `json:"leaving"`
	Absent  int `json:"absent"`
	// Slots is the sum over servers that are not absent, and Busy the number of running requests.
	Slots int `json:"slots"`
	Busy  int `json:"busy"`
	// Backlog is the number of requests that wait in the routers.
	Backlog int `json:"backlog"`
}

// Summary combines the reports of several processes.
type Summary struct {
	Routers  int       `json:"routers"`
	Agents   int       `json:"agents"`
	Missing  []Missing `json:"missing"`
	Versions []Version `json:"versions"`
	Services []Service `json:"services"`
	Teams    []Team    `json:"teams"`
	Servers  []Server  `json:"servers"`
}

// maxExamples is the most processes named for an old version.
const maxExamples = 3

type teamKey struct {
	service string
	team    string
}

// aggregator combines reports into a Summary.
type aggregator struct {
	versions map[int64]*Version
	teams    map[teamKey]*Team
	servers  map[string]Server
	// selfReported holds the servers whose own agent reported. Its report takes precedence over the routers' views.
	selfReported map[string]bool
}

// Summarize summarizes reports; missing are the processes without one. Versions are sorted from the newest, all other
// lists by name.
func Summarize(reports []Report, missing []Missing) Summary {
	u := &aggregator{
		versions:     make(map[int64]*Version),
		teams:        make(map[teamKey]*Team),
		servers:      make(map[string]Server),
		selfReported: make(map[string]bool),
	}
	s := Summary{Missing: missing}
	for _, r := range reports {
		if r.Role == AgentRole {
			s.Agents++
		} else {
			s.Routers++
		}
		u.add(r)
	}
	s.Versions = u.sortedVersions()
	s.Teams = u.sortedTeams()
	s.Servers = u.sortedServers()
	s.Services = services(s.Servers, s.Teams)
	return s
}

func (u *aggregator) add(r Report) {
	u.addVersion(r)
	for _, t := range r.Teams {
		u.addTeam(t)
	}
	for _, v := range r.Servers {
		if r.Role == AgentRole {
			u.selfReported[v.Server] = true
			u.servers[v.Server] = v
			continue
		}
		u.addRouterView(v)
	}
}

func (u *aggregator) addVersion(r Report) {
	v, ok := u.versions[r.Version]
	if !ok {
		v = &Version{Version: r.Version, AgeMs: r.AgeMs}
		u.versions[r.Version] = v
	}
	v.Processes++
	v.AgeMs = min(v.AgeMs, r.AgeMs)
	if len(v.Examples) < maxExamples {
		v.Examples = append(v.Examples, r.Name)
	}
}

func (u *aggregator) addTeam(t Team) {
	k := teamKey{t.Service, t.Team}
	sum, ok := u.teams[k]
	if !ok {
		sum = &Team{Team: t.Team, Service: t.Service}
		u.teams[k] = sum
	}
	sum.Units += t.Units
	sum.Backlog += t.Backlog
	sum.OldestWaitMs = max(sum.OldestWaitMs, t.OldestWaitMs)
}

// addRouterView adds a router's view of a server. The view of a router that reaches the server takes precedence over
// that of one that does not.
func (u *aggregator) addRouterView(v Server) {
	old, ok := u.servers[v.Server]
	if u.selfReported[v.Server] || (ok && old.State != Silent) {
		return
	}
	u.servers[v.Server] = v
}

func (u *aggregator) sortedVersions() []Version {
	out := make([]Version, 0, len(u.versions))
	for _, v := range u.versions {
		out = append(out, *v)
	}
	slices.SortFunc(out, func(a, b Version) int { return cmp.Compare(b.Version, a.Version) })
	if len(out) > 0 {
		out[0].Examples = nil
	}
	return out
}

func (u *aggregator) sortedTeams() []Team {
	totals := make(map[string]int64)
	for _, t := range u.teams {
		totals[t.Service] += t.Units
	}
	out := make([]Team, 0, len(u.teams))
	for _, t := range u.teams {
		if total := totals[t.Service]; total > 0 {
			t.Share = float64(t.Units) / float64(total)
		}
		out = append(out, *t)
	}
	slices.SortFunc(out, compareTeams)
	return out
}

func compareTeams(a, b Team) int {
	return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Team, b.Team))
}

func (u *aggregator) sortedServers() []Server {
	out := make([]Server, 0, len(u.servers))
	for _, v := range u.servers {
		out = append(out, v)
	}
	slices.SortFunc(out, compareServers)
	return out
}

func compareServers(a, b Server) int {
	return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Server, b.Server))
}

func services(servers []Server, teams []Team) []Service {
	byName := make(map[string]*Service)
	at := func(name string) *Service {
		if byName[name] == nil {
			byName[name] = &Service{Service: name}
		}
		return byName[name]
	}
	for _, v := range servers {
		at(v.Service).add(v)
	}
	for _, t := range teams {
		at(t.Service).Backlog += t.Backlog
	}
	out := make([]Service, 0, len(byName))
	for _, s := range byName {
		out = append(out, *s)
	}
	slices.SortFunc(out, func(a, b Service) int { return cmp.Compare(a.Service, b.Service) })
	return out
}

func (s *Service) add(v Server) {
	s.Servers++
	switch v.State {
	case Ready:
		s.Ready++
		s.Slots += v.Slots
	case Leaving:
		s.Leaving++
		s.Slots += v.Slots
	default:
		s.Absent++
	}
	s.Busy += v.Busy
}
