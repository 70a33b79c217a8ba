// Command docelar prints the configuration of the example site Docelar Sortidos.
package main

import (
	"fmt"
	"os"

	"github.com/laburnumring/laburnumring/pkg/place"
	"github.com/laburnumring/laburnumring/pkg/retry"
	"github.com/laburnumring/laburnumring/pkg/server"
	"github.com/laburnumring/laburnumring/pkg/service"
	"github.com/laburnumring/laburnumring/pkg/site"
	"github.com/laburnumring/laburnumring/pkg/team"
)

const (
	smallTeams   = 12
	modelServers = 9
	appServers   = 3
	largeWeight  = 4
)

func main() {
	s := build()
	if err := s.Check(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	text, err := s.YAML()
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	_, _ = os.Stdout.Write(text)
}

func build() *site.Site {
	s := site.New("docelar")
	for _, name := range []string{"chain-north", "chain-south", "bakery", "catalogue"} {
		s.AddTeams(team.New(name, team.Options{Weight: largeWeight, TokenSHA256: digest(name)}))
	}
	for i := range smallTeams {
		name := fmt.Sprintf("shop-%d", i+1)
		s.AddTeams(team.New(name, team.Options{TokenSHA256: digest(name)}))
	}
	places := []string{"recife", "fortaleza", "salvador"}
	for _, name := range places {
		s.AddPlaces(place.New(name, "nordeste"))
	}
	s.AddServices(
		service.New("assistant-llm", service.Options{
			Kind:  service.Model,
			Retry: retry.New(retry.Options{MaxAttempts: 3, BudgetPercent: 20, Repeatable: true}),
		}),
		service.New("orders-app", service.Options{
			Kind:  service.Plain,
			Retry: retry.New(retry.Options{MaxAttempts: 2, BudgetPercent: 10}),
		}),
	)
	addServers(s, "assistant-llm", modelServers, places)
	addServers(s, "orders-app", appServers, places)
	return s
}

// digest returns the digest of a team's example token. A production program contains the digests printed by
// "laburnumring keys token" and no tokens.
func digest(name string) string {
	return team.TokenDigest("example token of " + name)
}

// addServers adds n servers of a service on loopback addresses, distributed over the places in turn.
func addServers(s *site.Site, name string, n int, places []string) {
	base := 23000
	if name == "orders-app" {
		base = 24000
	}
	for i := range n {
		s.AddServers(server.New(fmt.Sprintf("%s-%d", name, i+1), server.Options{
			Service: name,
			Place:   places[i%len(places)],
			Address: fmt.Sprintf("127.0.0.1:%d", base+2*i),
			Agent:   fmt.Sprintf("127.0.0.1:%d", base+2*i+1),
		}))
	}
}
