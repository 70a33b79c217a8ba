package roster_test

import (
	"fmt"
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"

	"github.com/laburnumring/laburnumring"
	"github.com/laburnumring/laburnumring/internal/roster"
	"github.com/laburnumring/laburnumring/pkg/clock"
)

// TestRoster runs scripts of lists and outages. Entries are ID=STATE[/ADDRESS]; "read" is when the list was the
// newest, "at" when it is applied. Each command prints the servers that may get work, with retained ones in
// parentheses.
func TestRoster(t *testing.T) {
	datadriven.Walk(t, "testdata/roster", func(t *testing.T, path string) {
		r := roster.New()
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			l := laburnumring.ServerList{}
			var now, read int64
			for _, a := range d.CmdArgs {
				switch a.Key {
				case "at":
					d.ScanArgs(t, "at", &now)
				case "read":
					d.ScanArgs(t, "read", &read)
				case "revision":
					d.ScanArgs(t, "revision", &l.Revision)
				case "era":
					d.ScanArgs(t, "era", &l.Era)
				default:
					if len(a.Vals) > 0 {
						l.Entries = append(l.Entries, entry(a.Key, a.Vals[0]))
					}
				}
			}
			if read == 0 {
				read = now
			}
			out := ""
			switch d.Cmd {
			case "take":
				r.Apply(clock.Millis(now), l, clock.Millis(read))
			case "fail":
				r.ReadFailed(clock.Millis(now))
			case "served":
				r.ReadSucceeded(clock.Millis(now))
			case "tick":
				out = fmt.Sprintf("look %v, ", r.FinalReadDue(clock.Millis(now)))
				r.Expire(clock.Millis(now))
			case "away":
				out = fmt.Sprintf("away %v, ", r.StoreUnavailable(clock.Millis(now)))
			case "misplaced":
				r.AddressReassigned(d.CmdArgs[0].Key)
			case "tell":
				var ids []string
				for _, e := range r.List().Entries {
					ids = append(ids, e.ID)
				}
				out = fmt.Sprintf("told %s, ", strings.Join(ids, " "))
			}
			var ids []string
			for _, e := range r.Servers() {
				id := e.ID + "@" + e.Address
				if r.Retained(e.ID) {
					id = "(" + id + ")"
				}
				ids = append(ids, id)
			}
			return fmt.Sprintf("%srevision %d: %s\n", out, r.Revision(), strings.Join(ids, " "))
		})
	})
}

func entry(id, v string) laburnumring.ServerEntry {
	state, address, _ := strings.Cut(v, "/")
	e := laburnumring.ServerEntry{ID: id, Service: "s", Address: address, State: laburnumring.ServerReady}
	if state == "leaving" {
		e.State = laburnumring.ServerLeaving
	}
	return e
}
