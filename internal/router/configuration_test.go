package router_test

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/laburnumring/laburnumring"
	"github.com/laburnumring/laburnumring/internal/agent"
	"github.com/laburnumring/laburnumring/internal/caller"
	"github.com/laburnumring/laburnumring/internal/event"
	"github.com/laburnumring/laburnumring/internal/incarnation"
	"github.com/laburnumring/laburnumring/internal/router"
	"github.com/laburnumring/laburnumring/internal/traffic"
	"github.com/laburnumring/laburnumring/internal/wallclock"
	"github.com/laburnumring/laburnumring/pkg/clock"
	"github.com/laburnumring/laburnumring/pkg/header"
	"github.com/laburnumring/laburnumring/pkg/place"
	"github.com/laburnumring/laburnumring/pkg/server"
	"github.com/laburnumring/laburnumring/pkg/service"
	"github.com/laburnumring/laburnumring/pkg/site"
	"github.com/laburnumring/laburnumring/pkg/team"
)

// unavailableLog is a platform log that always fails.
type unavailableLog struct{}

var errLogUnavailable = errors.New("outage")

func (unavailableLog) Append(context.Context, string, []byte) (int64, error) {
	return 0, errLogUnavailable
}

func (unavailableLog) Read(context.Context, string, int64, clock.Millis) (laburnumring.Page, error) {
	return laburnumring.Page{}, errLogUnavailable
}

// TestConfigurationFromPeers checks that a configuration spreads without the platform's log. Only one router can
// read the log. The agent must get the configuration from that router, and a second router from the agent, its
// seed.
func TestConfigurationFromPeers(t *testing.T) {
	checkLeaks(t)
	h := &lateHandler{}
	s := httptest.NewServer(h)
	t.Cleanup(s.Close)
	address := s.Listener.Addr().String()
	st := site.New("peers")
	st.AddTeams(team.New("brokers", team.Options{}))
	st.AddPlaces(place.New("here", "north"))
	st.AddServices(service.New("pool", service.Options{}))
	st.AddServers(server.New("a", server.Options{Service: "pool", Place: "here", Agent: address, Address: "192.0.2.1:1"}))

	agentEvents := &eventLog{}
	a, err := agent.New(agent.Options{
		Server: st.Servers()[0], Kind: service.Model, Incarnation: incarnation.New(), Clock: wallclock.New(),
		Log: unavailableLog{}, Backend: newBlockingBackend(), Logger: event.NewLogger(agentEvents, "logfmt", "agent"),
		LogTraffic: &traffic.Counter{},
	})
	if err != nil {
		t.Fatal(err)
	}
	h.set(a.Handler())
	run(t, agentEvents, a.Run)

	seeded, url := startPeer(t, "seeded", unavailableLog{}, address)
	seeded.events.await("event=2003")
	refused := (&blockingFleet{url: url}).call(t)
	if refused.status != http.StatusServiceUnavailable || refused.header.Get(header.Outcome) != "not_run" ||
		refused.header.Get(header.Reason) != "no_configuration" {
		t.Errorf("request without a configuration: %+v", refused)
	}
	startPeer(t, "first", (&fleet{}).configurationLog(t, st))
	agentEvents.await("event=2001", "version=1", "source=router")
	seeded.events.await("event=2001", "version=1", "source="+address)
}

func startPeer(t *testing.T, name string, log laburnumring.Log, seeds ...string) (*process, string) {
	e := &eventLog{}
	r := router.New(router.Options{
		Name: name, Place: "here", Incarnation: incarnation.New(), Clock: wallclock.New(), Log: log, VMs: noVMs{},
		LogTraffic: &traffic.Counter{}, Logger: event.NewLogger(e, "logfmt", "router"), CallerAuth: caller.TeamHeader,
		Rand: rand.New(rand.NewPCG(1, 1)), Seeds: seeds,
	})
	s := httptest.NewServer(r.Handler())
	t.Cleanup(s.Close)
	return run(t, e, r.Run), s.URL
}
