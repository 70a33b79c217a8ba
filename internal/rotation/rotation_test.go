package rotation_test

import (
	"testing"

	"github.com/cockroachdb/datadriven"

	"github.com/laburnumring/laburnumring/internal/rotation"
	"github.com/laburnumring/laburnumring/pkg/clock"
)

// TestRotation runs scripts of the routers of a data centre. Times are in milliseconds; at=T sets the clock:
//
//	peer NAME [place=P] [capacity=N] [overloaded] [strained] [away] [stopping]
//	    applies a state that a peer reports; strained means recently overloaded, and overloaded implies it
//	self [capacity=N] [overloaded] [stopping]
//	    prints "in" if this router, named m, is in the rotation and "away" if not; its overloads are recorded
func TestRotation(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		c := rotation.New(rotation.Options{Name: "m"})
		now, outOfRotation := clock.Millis(0), false
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			d.MaybeScanArgs(t, "at", (*int64)(&now))
			s := rotation.State{
				Place: "a", Capacity: 100, Serving: !d.HasArg("stopping"), Overloaded: d.HasArg("overloaded"),
				RecentlyOverloaded: d.HasArg("overloaded") || d.HasArg("strained"), OutOfRotation: d.HasArg("away"),
			}
			d.MaybeScanArgs(t, "place", &s.Place)
			d.MaybeScanArgs(t, "capacity", &s.Capacity)
			switch d.Cmd {
			case "peer":
				c.Merge(now, d.CmdArgs[0].Key, s)
				return ""
			case "self":
				if s.Overloaded {
					c.RecordOverload(now)
				}
				s.RecentlyOverloaded, s.OutOfRotation = c.RecentlyOverloaded(now), outOfRotation
				outOfRotation = c.OutOfRotation(now, s)
				if outOfRotation {
					return "away"
				}
				return "in"
			}
			d.Fatalf(t, "unknown command %s", d.Cmd)
			return ""
		})
	})
}
