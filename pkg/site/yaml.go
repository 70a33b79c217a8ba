package site

import (
	"bytes"

	"github.com/joomcode/errorx"
	"go.yaml.in/yaml/v3"

	"github.com/laburnumring/laburnumring/pkg/clock"
	"github.com/laburnumring/laburnumring/pkg/document"
	"github.com/laburnumring/laburnumring/pkg/place"
	"github.com/laburnumring/laburnumring/pkg/retry"
	"github.com/laburnumring/laburnumring/pkg/server"
	"github.com/laburnumring/laburnumring/pkg/service"
	"github.com/laburnumring/laburnumring/pkg/team"
)

// These types are the YAML form of Site, with the field names of the configuration.
type (
	yamlSite struct {
		Site     string        `yaml:"site"`
		Teams    []yamlTeam    `yaml:"teams"`
		Services []yamlService `yaml:"services"`
		Places   []yamlPlace   `yaml:"places"`
		Servers  []yamlServer  `yaml:"servers"`
	}

	yamlTeam struct {
		Name        string `yaml:"name"`
		Weight      int    `yaml:"weight"`
		TokenSHA256 string `yaml:"token_sha256,omitempty"`
	}

	yamlRetry struct {
		MaxAttempts   int  `yaml:"max_attempts"`
		BudgetPercent int  `yaml:"budget_percent"`
		Repeatable    bool `yaml:"repeatable"`
	}

	yamlService struct {
		Name           string       `yaml:"name"`
		Kind           service.Kind `yaml:"kind"`
		Retry          yamlRetry    `yaml:"retry"`
		QueueLimit     int          `yaml:"queue_limit"`
		KeyWindowMs    clock.Millis `yaml:"key_window_ms"`
		ResumesExactly bool         `yaml:"resumes_exactly,omitempty"`
	}

	yamlPlace struct {
		Name   string `yaml:"name"`
		Region string `yaml:"region"`
	}

	yamlServer struct {
		Name          string `yaml:"name"`
		Service       string `yaml:"service"`
		Place         string `yaml:"place"`
		Address       string `yaml:"address"`
		Agent         string `yaml:"agent"`
		Slots         int    `yaml:"slots"`
		ChecksFencing bool   `yaml:"checks_fencing"`
	}
)

// YAML returns the site as YAML that Parse accepts if the site is valid.
func (s *Site) YAML() ([]byte, error) {
	var buf bytes.Buffer
	enc := yaml.NewEncoder(&buf)
	enc.SetIndent(2)
	if err := enc.Encode(s.toYAML()); err != nil {
		return nil, errorx.Decorate(err, "print site %s", s.name)
	}
	if err := enc.Close(); err != nil {
		return nil, errorx.Decorate(err, "print site %s", s.name)
	}
	return buf.Bytes(), nil
}

// Parse reads a site from YAML and checks it. Its errors are of type *document.FieldError and name file.
func Parse(file string, data []byte) (*Site, error) {
	var y yamlSite
	doc, err := document.Parse(file, data, &y)
	if err != nil {
		return nil, err
	}
	s := y.site()
	if err := s.check(doc); err != nil {
		return nil, err
	}
	return s, nil
}

func (s *Site) toYAML() yamlSite {
	y := yamlSite{Site: s.name}
	for _, t := range s.teams {
		y.Teams = append(y.Teams, yamlTeam{Name: t.Name(), Weight: t.Weight(), TokenSHA256: t.TokenSHA256()})
	}
	for _, v := range s.services {
		y.Services = append(y.Services, yamlService{
			Name: v.Name(),
			Kind: v.Kind(),
			Retry: yamlRetry{
				MaxAttempts:   v.Retry().MaxAttempts(),
				BudgetPercent: v.Retry().BudgetPercent(),
				Repeatable:    v.Retry().Repeatable(),
			},
			QueueLimit:     v.QueueLimit(),
			KeyWindowMs:    v.KeyWindow(),
			ResumesExactly: v.ResumesExactly(),
		})
	}
	for _, p := range s.places {
		y.Places = append(y.Places, yamlPlace{Name: p.Name(), Region: p.Region()})
	}
	for _, v := range s.servers {
		y.Servers = append(y.Servers, yamlServer{
			Name: v.Name(), Service: v.Service(), Place: v.Place(), Address: v.Address(),
			Agent: v.Agent(), Slots: v.Slots(), ChecksFencing: v.ChecksFencing(),
		})
	}
	return y
}

func (y yamlSite) site() *Site {
	s := New(y.Site)
	for _, t := range y.Teams {
		s.AddTeams(team.New(t.Name, team.Options{Weight: t.Weight, TokenSHA256: t.TokenSHA256}))
	}
	for _, v := range y.Services {
		s.AddServices(service.New(v.Name, service.Options{
			Kind: v.Kind,
			Retry: retry.New(retry.Options{
				MaxAttempts:   v.Retry.MaxAttempts,
				BudgetPercent: v.Retry.BudgetPercent,
				Repeatable:    v.Retry.Repeatable,
			}),
			QueueLimit:     v.QueueLimit,
			KeyWindow:      v.KeyWindowMs,
			ResumesExactly: v.ResumesExactly,
		}))
	}
	for _, p := range y.Places {
		s.AddPlaces(place.New(p.Name, p.Region))
	}
	for _, v := range y.Servers {
		s.AddServers(server.New(v.Name, server.Options{
			Service: v.Service, Place: v.Place, Address: v.Address, Agent: v.Agent,
			Slots: v.Slots, ChecksFencing: v.ChecksFencing,
		}))
	}
	return s
}
