package dispatch_test

import (
	"math/rand/v2"
	"testing"

	"github.com/laburnumring/laburnumring/internal/board"
	"github.com/laburnumring/laburnumring/internal/dispatch"
	"github.com/laburnumring/laburnumring/internal/placement"
	"github.com/laburnumring/laburnumring/internal/ticket"
	"github.com/laburnumring/laburnumring/pkg/clock"
	"github.com/laburnumring/laburnumring/pkg/outcome"
	"github.com/laburnumring/laburnumring/pkg/place"
	"github.com/laburnumring/laburnumring/pkg/server"
	"github.com/laburnumring/laburnumring/pkg/service"
	"github.com/laburnumring/laburnumring/pkg/site"
	"github.com/laburnumring/laburnumring/pkg/team"
)

// TestEndWaitingKeepsBoundRequests ends waiting requests at the time limit of a shutdown. The waiting request ends at
// once as not run, with a time after which to retry, and the bound one continues.
func TestEndWaitingKeepsBoundRequests(t *testing.T) {
	c := newController(t)
	for _, id := range []string{"bound", "waits"} {
		r := dispatch.Request{ID: id, Team: "brokers", Service: "pool", Cost: 1, Deadline: clock.Minute}
		if _, err := c.Submit(0, r); err != nil {
			t.Fatal(err)
		}
	}
	c.Offer(0, "a", ticket.Offer{ID: "o", Request: "bound", Attempt: 1})
	var finished []dispatch.Finish
	for _, a := range c.EndWaiting(clock.Second) {
		if f, ok := a.(dispatch.Finish); ok {
			finished = append(finished, f)
		}
	}
	if len(finished) != 1 || finished[0].Request != "waits" || finished[0].Outcome != outcome.NotRun ||
		finished[0].Reason != "stopping" || finished[0].RetryAfter == 0 || c.Len() != 1 {
		t.Errorf("ended %+v, %d in progress", finished, c.Len())
	}
}

func newController(t *testing.T) *dispatch.Controller {
	t.Helper()
	st := site.New("site")
	st.AddTeams(team.New("brokers", team.Options{}))
	st.AddPlaces(place.New("here", "north"))
	st.AddServices(service.New("pool", service.Options{Kind: service.Model}))
	st.AddServers(server.New("a", server.Options{Service: "pool", Place: "here", Address: "127.0.0.1:1", Agent: "127.0.0.1:2"}))
	b := board.New()
	b.SetSite(st, 1)
	b.SetPeer(board.Peer{Server: "a", Service: "pool", State: board.Ready, Slots: 1})
	return dispatch.New(dispatch.Options{
		Board: b, Placement: placement.NewSample(rand.New(rand.NewPCG(1, 1)), 2),
	})
}
