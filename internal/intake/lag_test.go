package intake_test

import (
	"testing"

	"github.com/laburnumring/laburnumring"
	"github.com/laburnumring/laburnumring/internal/intake"
	"github.com/laburnumring/laburnumring/pkg/clock"
)

// TestLagIsNotTheEngines lets first tokens come late at a router. Where its own timers are late too, it expects no more
// of the engines than before.
func TestLagIsNotTheEngines(t *testing.T) {
	expected := func(lag clock.Millis) int64 {
		c := newController()
		c.SetServers([]laburnumring.ServerEntry{{ID: "m1", Service: "llm", Slots: 8, Address: "m1", State: laburnumring.ServerReady}})
		c.SetLag(lag)
		id := int64(0)
		submit := func(now clock.Millis) intake.Decision {
			id++
			d, ok := c.Submit(now, intake.Request{
				ID: id, Team: "ann", Service: "llm", PromptTokens: 200, OutputTokens: 50, Arrived: now, Goal: 400,
				Limit: now + 10_000, Fingerprint: uint64(id),
			})
			if !ok || d.Refusal != nil {
				t.Fatalf("lag %d: not sent at %d", lag, now)
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
	own, engines := expected(80), expected(0)
	if own > 150 {
		t.Errorf("with late timers %d ms are expected of an idle engine, want what was before", own)
	}
	if engines < 500 {
		t.Errorf("with timers on time %d ms are expected of a slow engine, want more", engines)
	}
}
