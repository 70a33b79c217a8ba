package configuration_test

import (
	"fmt"
	"testing"

	"github.com/laburnumring/laburnumring"
	"github.com/laburnumring/laburnumring/internal/configuration"
	"github.com/laburnumring/laburnumring/internal/peer"
	"github.com/laburnumring/laburnumring/pkg/place"
	"github.com/laburnumring/laburnumring/pkg/server"
	"github.com/laburnumring/laburnumring/pkg/service"
	"github.com/laburnumring/laburnumring/pkg/site"
	"github.com/laburnumring/laburnumring/pkg/team"
)

// largeSite returns a site of the size that the design must support.
func largeSite(b *testing.B) string {
	const teams, services, places, servers = 520, 6, 6, 760
	s := site.New("large")
	for i := range teams {
		s.AddTeams(team.New(fmt.Sprintf("team-%d", i), team.Options{}))
	}
	for i := range services {
		s.AddServices(service.New(fmt.Sprintf("model-%d", i), service.Options{Kind: service.Model}))
	}
	for i := range places {
		s.AddPlaces(place.New(fmt.Sprintf("place-%d", i), fmt.Sprintf("region-%d", i/2)))
	}
	for i := range servers {
		address := fmt.Sprintf("10.0.%d.%d", i/250, i%250)
		s.AddServers(server.New(fmt.Sprintf("server-%d", i), server.Options{
			Service: fmt.Sprintf("model-%d", i%services), Place: fmt.Sprintf("place-%d", i%places),
			Address: address + ":8000", Agent: address + ":8001",
		}))
	}
	text, err := s.YAML()
	if err != nil {
		b.Fatal(err)
	}
	return string(text)
}

// BenchmarkLargeSite measures the cost of a change to a process: the time to parse it, and the bytes by which it
// arrives from the log or a peer.
func BenchmarkLargeSite(b *testing.B) {
	text := largeSite(b)
	data, err := configuration.Record{Type: configuration.Change, ID: "a", Version: 1, Text: text}.Encode()
	if err != nil {
		b.Fatal(err)
	}
	message, err := peer.NewConfiguration(configuration.State{Version: 1, ID: "a", Text: text})
	if err != nil {
		b.Fatal(err)
	}
	page := laburnumring.Page{Next: 1, Records: []laburnumring.Record{{Data: data}}}
	for b.Loop() {
		configuration.Decode(page)
	}
	b.ReportMetric(float64(len(data)), "record-bytes")
	b.ReportMetric(float64(len(message.Text)), "peer-bytes")
}
