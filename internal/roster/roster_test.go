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

// TestRoster plays scripts of lists and outages. Entries are ID=STATE[/ADDRESS]; each command prints the servers that
// may get work.
func TestRoster(t *testing.T) {
	r := roster.New()
	datadriven.RunTest(t, "testdata/roster", func(t *testing.T, d *datadriven.TestData) string {
		l := laburnumring.ServerList{}
		now := int64(0)
		for _, a := range d.CmdArgs {
			switch a.Key {
			case "at":
				d.ScanArgs(t, "at", &now)
			case "revision":
				d.ScanArgs(t, "revision", &l.Revision)
			default:
				if len(a.Vals) > 0 {
					l.Entries = append(l.Entries, entry(a.Key, a.Vals[0]))
				}
			}
		}
		switch d.Cmd {
		case "take":
			r.Take(clock.Millis(now), l)
		case "peer":
			r.TakeFromPeer(l)
		case "fail":
			r.Failed()
		case "misplaced":
			r.Misplaced(d.CmdArgs[0].Key)
		}
		var ids []string
		for _, e := range r.Servers() {
			ids = append(ids, e.ID+"@"+e.Address)
		}
		return fmt.Sprintf("revision %d: %s\n", r.Revision(), strings.Join(ids, " "))
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
