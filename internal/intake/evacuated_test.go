package intake_test

import (
	"testing"

	"github.com/laburnumring/laburnumring"
	"github.com/laburnumring/laburnumring/internal/intake"
	"github.com/laburnumring/laburnumring/internal/routing"
)

// TestEvacuating guards against requests that are sent to a server whose place is evacuated after they were assigned to
// it, that go on waiting, or that are refused for another reason.
func TestEvacuating(t *testing.T) {
	t.Parallel()
	c := intake.New(intake.Options{Place: "a"})
	c.Configure(routing.New(routing.Options{Services: []routing.Service{{Name: "app"}}}))
	c.SetServers([]laburnumring.ServerEntry{{ID: "s", Service: "app", Address: "s", Slots: 1, State: laburnumring.ServerReady}})
	waiting := 0
	for id := range int64(4) {
		r := intake.Request{ID: id + 1, Service: "app", Arrived: 10, Deadline: 5000}
		if _, decided := c.Submit(10, r); !decided {
			waiting++
		}
	}
	if waiting == 0 || !c.Accepts(11, "s") {
		t.Fatalf("%d requests wait, accepts %v", waiting, c.Accepts(11, "s"))
	}
	c.SetServers(nil)
	c.SetEvacuating(true)
	if c.Accepts(12, "s") {
		t.Error("an assigned request may still be sent")
	}
	refused := 0
	for _, d := range c.Poll(12) {
		if d.Refusal != nil && d.Refusal.Reason == "place_evacuated" && d.Refusal.RetryAfter > 0 {
			refused++
		}
	}
	if refused != waiting {
		t.Errorf("%d of %d waiting requests were refused", refused, waiting)
	}
	c.SetEvacuating(false)
	d, _ := c.Submit(13, intake.Request{ID: 9, Service: "app", Arrived: 13, Deadline: 5000})
	if d.Refusal == nil || d.Refusal.Reason != "no_server" {
		t.Errorf("decision without servers and evacuated places: %+v", d)
	}
}
