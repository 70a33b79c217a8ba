package roster_test

import (
	"testing"

	"github.com/laburnumring/laburnumring"
	"github.com/laburnumring/laburnumring/internal/roster"
	"github.com/laburnumring/laburnumring/pkg/clock"
)

// TestHeartbeatOfColdServer applies lists that differ in a server's cold time alone. They must not count as changes of
// the servers, of which each is logged, nor give work again to a server whose address belongs to another one, and the
// list must carry the newest cold time nevertheless.
func TestHeartbeatOfColdServer(t *testing.T) {
	r := roster.New()
	list := func(revision int64, left clock.Millis) laburnumring.ServerList {
		e := laburnumring.ServerEntry{
			ID: "i1", Service: "s", Address: "h:1", State: laburnumring.ServerReady, ColdLeft: left, Written: revision,
		}
		return laburnumring.ServerList{Revision: revision, Entries: []laburnumring.ServerEntry{e}}
	}
	r.Apply(1000, list(1, 5000), 1000)
	r.AddressReassigned("i1")
	if r.Apply(2200, list(2, 3800), 2200) {
		t.Error("a heartbeat counts as a change")
	}
	if got := r.Servers(); len(got) != 0 {
		t.Errorf("servers %v get work, want none", got)
	}
	if got := r.List().Entries[0].ColdLeft; got != 3800 {
		t.Errorf("cold for %d ms more, want 3800", got)
	}
}
