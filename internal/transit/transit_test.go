package transit_test

import (
	"fmt"
	"testing"

	"github.com/cockroachdb/datadriven"

	"github.com/laburnumring/laburnumring/internal/transit"
	"github.com/laburnumring/laburnumring/pkg/clock"
)

// TestLate plays messages, each with when it was sent by its sender's clock and when it is handled.
func TestLate(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		var m transit.Meter
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			var sent, at int64
			d.ScanArgs(t, "sent", &sent)
			d.ScanArgs(t, "at", &at)
			return fmt.Sprintf("%d\n", m.Late(clock.Millis(at), clock.Millis(sent)))
		})
	})
}
