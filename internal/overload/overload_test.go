package overload_test

import (
	"fmt"
	"strconv"
	"testing"

	"github.com/cockroachdb/datadriven"

	"github.com/laburnumring/laburnumring/internal/overload"
	"github.com/laburnumring/laburnumring/pkg/clock"
)

// TestMeter runs scripts of timers. The command "fire every=MS for=MS [reset]" fires the timer and prints the meter's
// state; with reset, connections are reset at each firing.
func TestMeter(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		m, now := overload.New(), clock.Millis(1000)
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			var every, duration int64
			d.ScanArgs(t, "every", &every)
			d.ScanArgs(t, "for", &duration)
			for end := now + clock.Millis(duration); now < end; {
				now += clock.Millis(every)
				reset := clock.Millis(0)
				if d.HasArg("reset") {
					reset = now
				}
				m.Fired(now, reset)
			}
			return fmt.Sprintf("busy=%t full=%t overloaded=%t late=%d shed=%s\n", m.Busy(), m.Saturated(), m.Overloaded(),
				m.ShortLag(), strconv.FormatFloat(m.Shed(), 'f', 2, 64))
		})
	})
}
