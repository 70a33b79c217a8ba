package membership_test

import (
	"fmt"
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"

	"github.com/laburnumring/laburnumring"
	"github.com/laburnumring/laburnumring/internal/board"
	"github.com/laburnumring/laburnumring/internal/membership"
	"github.com/laburnumring/laburnumring/pkg/place"
	"github.com/laburnumring/laburnumring/pkg/server"
	"github.com/laburnumring/laburnumring/pkg/service"
	"github.com/laburnumring/laburnumring/pkg/site"
)

// script runs the commands of a test data file.
type script struct {
	b *board.Board
	c *membership.Controller
}

// TestMembership lets configuration, VM list and agents' reports contradict each other. The lists lag, become
// empty or repeat.
func TestMembership(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		b := board.New()
		s := &script{b: b, c: membership.New(b)}
		datadriven.RunTest(t, path, s.run)
	})
}

func (s *script) run(t *testing.T, d *datadriven.TestData) string {
	var name string
	d.MaybeScanArgs(t, "server", &name)
	switch d.Cmd {
	case "configure":
		return s.configure(d)
	case "answered":
		var incarnation string
		d.ScanArgs(t, "incarnation", &incarnation)
		s.c.SessionOpened(name, incarnation)
	case "reported":
		s.c.Reported(name, 0, 1, d.HasArg("draining"), d.HasArg("down"))
	case "lost":
		s.c.SessionLost(name)
	case "list":
		out := s.list(d)
		return out + s.peers()
	default:
		t.Fatalf("unknown command %s", d.Cmd)
	}
	return s.peers()
}

// configure puts a site in force. Each input line holds a server's name, address and agent address.
func (s *script) configure(d *datadriven.TestData) string {
	st := site.New("site")
	st.AddPlaces(place.New("here", "north"))
	st.AddServices(service.New("pool", service.Options{Kind: service.Model}))
	for line := range strings.Lines(d.Input) {
		f := strings.Fields(line)
		st.AddServers(server.New(f[0], server.Options{Service: "pool", Place: "here", Address: f[1], Agent: f[2]}))
	}
	s.b.SetSite(st, s.b.Version()+1)
	added, removed := s.c.Configured()
	out := ""
	for _, v := range added {
		out += "added " + v.Name() + "\n"
	}
	for _, v := range removed {
		out += "removed " + v + "\n"
	}
	return out
}

// list applies a VM list. Each input line holds an address and optionally the word leaving.
func (s *script) list(d *datadriven.TestData) string {
	var vms []laburnumring.VM
	for line := range strings.Lines(d.Input) {
		f := strings.Fields(line)
		vms = append(vms, laburnumring.VM{Address: f[0], Leaving: len(f) > 1})
	}
	out := ""
	for _, name := range s.c.VMListReceived(vms) {
		out += "newly leaving: " + name + "\n"
	}
	return out
}

func (s *script) peers() string {
	names := map[board.PeerState]string{board.Silent: "silent", board.Ready: "ready", board.Leaving: "leaving", board.Down: "down"}
	var out []string
	for _, p := range s.b.Peers() {
		out = append(out, fmt.Sprintf("%s %s", p.Server, names[p.State]))
	}
	return strings.Join(out, ", ") + "\n"
}
