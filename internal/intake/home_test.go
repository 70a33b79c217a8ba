package intake_test

import (
	"fmt"
	"testing"

	"github.com/laburnumring/laburnumring"
	"github.com/laburnumring/laburnumring/internal/intake"
	"github.com/laburnumring/laburnumring/pkg/clock"
)

// TestHomeMayQueue replays the load of engines with few slots, nearly all taken: a prompt's long shared part is cached at
// an engine without a free slot, while others have one. The request must wait there for its slot, which comes soon, and
// not have the part read again elsewhere, unless several wait there already or a slot takes long to come free.
func TestHomeMayQueue(t *testing.T) {
	for _, tt := range []struct {
		name    string
		running int
		gap     clock.Millis
		want    bool
	}{
		{"free slot", 10, 25, true},
		{"next slot", 11, 25, true},
		{"second slot", 12, 25, true},
		{"two wait already", 13, 25, false},
		{"long answers", 11, 2000, false},
	} {
		t.Run(tt.name, func(t *testing.T) {
			c, report := newBusy(93, 60, 12, 5)
			request := func(id int64) intake.Request {
				return intake.Request{
					ID: id, Team: "team-00", Service: "llm", PromptTokens: 6000, OutputTokens: 400,
					Parts:   []laburnumring.PromptPart{{ID: "shared", Tokens: 5000}, {ID: fmt.Sprint("own", id), Tokens: 1000}},
					Arrived: 1, Goal: 600, Deadline: 10_000, Fingerprint: uint64(id),
				}
			}
			d, ok := c.Submit(1, request(1))
			if !ok || d.Refusal != nil {
				t.Fatalf("the first request is not sent: %+v", d)
			}
			home := d.Server.ID
			c.Started(60, 1)
			for range 200 {
				c.Progress(1, 1, tt.gap)
			}
			report.Servers[intake.KeyOf(home)] = intake.Load{Running: tt.running, Memory: 4000}
			c.Merge(100, "peer", report)
			d, ok = c.Submit(100, request(2))
			if got := ok && d.Server.ID == home; got != tt.want {
				t.Errorf("sent to %q with %+v, want the home %q: %v", d.Server.ID, d.Basis, home, tt.want)
			}
		})
	}
}
