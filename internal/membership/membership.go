// Package membership keeps a router's view of the agents, from the configuration, the platform's VM list,
// the agents' own word and their silence.
package membership

import (
	"github.com/laburnumring/laburnumring"
	"github.com/laburnumring/laburnumring/internal/board"
	"github.com/laburnumring/laburnumring/pkg/server"
)

// Controller writes the peers of a board. It is used by one goroutine at a time.
type Controller struct {
	b *board.Board
	// listed holds servers that the VM list shows, or last showed, as leaving, by server name. A mark ends when
	// the list shows the VM as staying, or with the process that it was set for.
	listed map[string]bool
	// draining holds servers whose agent said that it takes no more work, by server name.
	draining map[string]bool
	// down holds servers whose agent said that they do not answer, by server name.
	down map[string]bool
}

// New returns a controller that writes to b.
func New(b *board.Board) *Controller {
	return &Controller{b: b, listed: make(map[string]bool), draining: make(map[string]bool), down: make(map[string]bool)}
}

// Configured makes the board's peers those of the site in force and returns the servers that are new and
// those that are gone.
func (c *Controller) Configured() (added []server.Server, removed []string) {
	site := c.b.Site()
	for _, p := range c.b.Peers() {
		s, ok := site.Server(p.Server)
		if !ok || s.Agent() != p.Address || s.Service() != p.Service {
			c.b.RemovePeer(p.Server)
			delete(c.draining, p.Server)
			delete(c.down, p.Server)
			delete(c.listed, p.Server)
			removed = append(removed, p.Server)
		}
	}
	for _, s := range site.Servers() {
		if p, ok := c.b.Peer(s.Name()); ok {
			p.Place = s.Place()
			c.b.SetPeer(p)
			continue
		}
		c.b.SetPeer(board.Peer{
			Server: s.Name(), Service: s.Service(), Place: s.Place(), Address: s.Agent(),
			State: board.Silent, Slots: s.Slots(),
		})
		added = append(added, s)
	}
	return added, removed
}

// Answered records that a server's agent opened a session under incarnation. It reports whether the agent is
// now ready. What was known of an earlier incarnation does not bind a new one; if its VM is leaving, the next
// look at the VM list says so again.
func (c *Controller) Answered(name, incarnation string) bool {
	p, ok := c.b.Peer(name)
	if !ok {
		return false
	}
	if p.Incarnation != incarnation {
		delete(c.draining, name)
	}
	if p.Incarnation != "" && p.Incarnation != incarnation {
		delete(c.listed, name)
	}
	p.Incarnation = incarnation
	p.Load = 0
	p.State = c.state(p)
	c.b.SetPeer(p)
	return p.State == board.Ready
}

// Reported records what an agent says of itself and returns its state.
func (c *Controller) Reported(name string, load, slots int, draining, down bool) board.PeerState {
	p, ok := c.b.Peer(name)
	if !ok || p.State == board.Silent {
		return board.Silent
	}
	if draining {
		c.draining[name] = true
	}
	c.down[name] = down
	p.Load = load
	p.Slots = slots
	p.State = c.state(p)
	c.b.SetPeer(p)
	return p.State
}

// Lost records that a server's agent does not answer.
func (c *Controller) Lost(name string) {
	p, ok := c.b.Peer(name)
	if !ok {
		return
	}
	p.State = board.Silent
	c.b.SetPeer(p)
}

// Listed takes the platform's VM list and returns the servers that it newly shows as leaving. A server that the
// list does not name keeps its state: the list lags, and an empty one says nothing of servers that answer. Nor
// is the list a reason to believe in a server that does not answer.
func (c *Controller) Listed(vms []laburnumring.VM) []string {
	l := newList(vms)
	var out []string
	for _, p := range c.b.Peers() {
		if !c.mark(l, p) || p.State == board.Silent {
			continue
		}
		state := c.state(p)
		if state == board.Leaving && p.State != board.Leaving {
			out = append(out, p.Server)
		}
		p.State = state
		c.b.SetPeer(p)
	}
	return out
}

// mark renews the mark of a server that the list names, and reports whether it names it.
func (c *Controller) mark(l list, p board.Peer) bool {
	leaving, ok := l.find(p.Address, c.serverAddress(p.Server))
	switch {
	case !ok:
		return false
	case leaving:
		c.listed[p.Server] = true
	default:
		delete(c.listed, p.Server)
	}
	return true
}

func (c *Controller) serverAddress(name string) string {
	s, _ := c.b.Site().Server(name)
	return s.Address()
}

// state is the state of an agent that answers.
func (c *Controller) state(p board.Peer) board.PeerState {
	if c.draining[p.Server] || c.listed[p.Server] {
		return board.Leaving
	}
	if c.down[p.Server] {
		return board.Down
	}
	return board.Ready
}
