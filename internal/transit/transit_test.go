package transit_test

import (
	"fmt"
	"testing"

	"github.com/cockroachdb/datadriven"

	"github.com/laburnumring/laburnumring/internal/transit"
	"github.com/laburnumring/laburnumring/pkg/clock"
)

// TestExtraDelay runs scripts of messages, each with the time at which it was sent on the sender's clock and the time
// at which it is handled.
func TestExtraDelay(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		var m transit.Meter
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			var sent, at int64
			d.ScanArgs(t, "sent", &sent)
			d.ScanArgs(t, "at", &at)
			return fmt.Sprintf("%d\n", m.ExtraDelay(clock.Millis(at), clock.Millis(sent)))
		})
	})
}
