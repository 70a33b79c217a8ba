package measure

import (
	"fmt"

	"github.com/laburnumring/laburnumring/pkg/place"
	"github.com/laburnumring/laburnumring/pkg/retry"
	"github.com/laburnumring/laburnumring/pkg/server"
	"github.com/laburnumring/laburnumring/pkg/service"
	"github.com/laburnumring/laburnumring/pkg/site"
	"github.com/laburnumring/laburnumring/pkg/team"
)

// Site describes a site by its size.
type Site struct {
	name         string
	region       string
	places       []string
	modelService string
	plainService string
	modelServers int
	plainServers int
	teams        []team.Team
	// large is how many of the first teams are large.
	large   int
	routers int
}

const (
	siteTeams  = 16
	largeTeams = 4
	largeShare = 4
	entryVMs   = 4
	slots      = 8
	// stepMs and perRequestMs make a full engine's step 16 ms.
	stepMs       = 8
	perRequestMs = 1
)

// Sites returns the two sites at the sizes of today.
func Sites() []Site {
	return []Site{
		{
			name: "dunajlab", region: "sk-west", places: []string{"bratislava-a", "bratislava-b", "komarno", "sturovo"},
			modelService: "model-pool", plainService: "booking-app", modelServers: 9, plainServers: 4,
			teams: newTeams(largeShare), large: largeTeams, routers: entryVMs,
		},
		{
			name: "docelar", region: "nordeste", places: []string{"recife", "fortaleza", "salvador"},
			modelService: "assistant-llm", plainService: "orders-app", modelServers: 9, plainServers: 3,
			teams: newTeams(1), large: largeTeams, routers: entryVMs,
		},
	}
}

// newTeams returns large teams of the given weight and small ones of weight one.
func newTeams(weight int) []team.Team {
	var out []team.Team
	for i := range siteTeams {
		if i < largeTeams {
			out = append(out, team.New(fmt.Sprintf("large-%d", i+1), team.Options{Weight: weight}))
			continue
		}
		out = append(out, team.New(fmt.Sprintf("small-%d", i+1-largeTeams), team.Options{Weight: 1}))
	}
	return out
}

// Name returns the site's name.
func (s Site) Name() string { return s.name }

// Teams returns the teams, the large ones first.
func (s Site) Teams() []team.Team { return s.teams }

// Large returns how many of the first teams are large.
func (s Site) Large() int { return s.large }

// Places returns the names of the places.
func (s Site) Places() []string { return s.places }

// Routers returns how many routers there are.
func (s Site) Routers() int { return s.routers }

// Slots returns how many requests all model servers run at once.
func (s Site) Slots() int { return s.modelServers * slots }

// Capacity returns the tokens a second that full engines generate.
func (s Site) Capacity() float64 {
	const stepSeconds = (stepMs + perRequestMs*slots) / 1000.0
	return float64(s.Slots()) / stepSeconds
}

// FairRate returns the tokens a second that a team of the weight gets when all teams are backlogged.
func (s Site) FairRate(weight int) float64 {
	sum := 0
	for _, t := range s.teams {
		sum += t.Weight()
	}
	return s.Capacity() * float64(weight) / float64(sum)
}

// Weight returns a team's weight.
func (s Site) Weight(name string) float64 {
	for _, t := range s.teams {
		if t.Name() == name {
			return float64(t.Weight())
		}
	}
	return 1
}

// measuredQueue is the most waiting requests of a team on a router.
const measuredQueue = 256

// configuration returns the site without servers.
func (s Site) configuration() *site.Site {
	c := site.New(s.name)
	c.AddTeams(s.teams...)
	for _, p := range s.places {
		c.AddPlaces(place.New(p, s.region))
	}
	c.AddServices(
		service.New(s.modelService, service.Options{
			Kind: service.Model, QueueLimit: measuredQueue,
			Retry: retry.New(retry.Options{MaxAttempts: 3, BudgetPercent: 20, Repeatable: true}),
		}),
		service.New(s.plainService, service.Options{
			Kind:  service.Plain,
			Retry: retry.New(retry.Options{MaxAttempts: 2, BudgetPercent: 10}),
		}),
	)
	return c
}

// newServer returns the i-th server of a service; places are filled in turn.
func (s Site) newServer(service string, i int, address, agent string) server.Server {
	return server.New(fmt.Sprintf("%s-%d", service, i+1), server.Options{
		Service: service, Place: s.places[i%len(s.places)], Address: address, Agent: agent, Slots: slots,
	})
}
