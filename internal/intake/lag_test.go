package intake_test

import (
	"testing"

	"github.com/laburnumring/laburnumring"
	"github.com/laburnumring/laburnumring/internal/intake"
	"github.com/laburnumring/laburnumring/pkg/clock"
)

// TestTimerLagIsNotAttributedToEngines delays the first tokens at a router. While the router's own timers are late too,
// its predictions for the engines must stay as they were.
func TestTimerLagIsNotAttributedToEngines(t *testing.T) {
	predict := func(lag clock.Millis) int64 {
		c := newController()
		c.SetServers([]laburnumring.ServerEntry{{ID: "m1", Service: "llm", Slots: 8, Address: "m1", State: laburnumring.ServerReady}})
		c.SetLag(lag)
		id := int64(0)
		submit := func(now clock.Millis) intake.Decision {
			id++
			d, ok := c.Submit(now, intake.Request{
				ID: id, Team: "ann", Service: "llm", PromptTokens: 200, OutputTokens: 50, Arrived: now, Goal: 400,
				Deadline: now + 10_000, Fingerprint: uint64(id),
			})
			if !ok || d.Refusal != nil {
				t.Fatalf("lag %d ms: request at %d ms was not sent", lag, now)
			}
			return d
		}
		for now := clock.Millis(0); now < 20*clock.Second; now += clock.Second {
			submit(now)
			c.Started(now+900, id)
			c.Ended(now+950, id, intake.Whole)
		}
		return submit(20 * clock.Second).Basis.Expected
	}
	lagging, punctual := predict(80), predict(0)
	if lagging > 150 {
		t.Errorf("with late timers an engine is predicted at %d ms, want at most 150", lagging)
	}
	if punctual < 500 {
		t.Errorf("with punctual timers a slow engine is predicted at %d ms, want at least 500", punctual)
	}
}
