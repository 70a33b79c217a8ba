package rotation_test

import (
	"testing"

	"github.com/cockroachdb/datadriven"

	"github.com/laburnumring/laburnumring/internal/rotation"
	"github.com/laburnumring/laburnumring/pkg/clock"
)

// TestRotation plays scripts of routers of a place. Times are in milliseconds, at=T moves the clock:
//
//	peer NAME [place=P] [capacity=N] [overloaded] [strained] [away] [stopping]   what a peer tells; an overloaded one is
//	                                                           strained
//	self [capacity=N] [overloaded] [stopping]                  prints whether this router, named m, is in the rotation;
//	                                                           an overload is remembered
func TestRotation(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		c := rotation.New(rotation.Options{Name: "m"})
		now, away := clock.Millis(0), false
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			d.MaybeScanArgs(t, "at", (*int64)(&now))
			s := rotation.State{
				Place: "a", Capacity: 100, Serving: !d.HasArg("stopping"), Overloaded: d.HasArg("overloaded"),
				Strained: d.HasArg("overloaded") || d.HasArg("strained"), Away: d.HasArg("away"),
			}
			d.MaybeScanArgs(t, "place", &s.Place)
			d.MaybeScanArgs(t, "capacity", &s.Capacity)
			switch d.Cmd {
			case "peer":
				c.Merge(now, d.CmdArgs[0].Key, s)
				return ""
			case "self":
				if s.Overloaded {
					c.Overloaded(now)
				}
				s.Strained, s.Away = c.Strained(now), away
				away = c.Away(now, s)
				if away {
					return "away"
				}
				return "in"
			}
			d.Fatalf(t, "unknown command %s", d.Cmd)
			return ""
		})
	})
}
