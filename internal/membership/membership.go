// Package membership tracks the state of a router's agents. The state follows from the configuration, the
// platform's VM list, the agents' own reports and the loss of their connections.
package membership

import (
	"github.com/laburnumring/laburnumring"
	"github.com/laburnumring/laburnumring/internal/board"
	"github.com/laburnumring/laburnumring/pkg/server"
)

// Controller maintains the peers on a board. It is used by one goroutine at a time.
type Controller struct {
	board *board.Board
	// listedLeaving holds the servers that the VM list last showed as leaving, by server name. An entry is
	// removed when the list shows the VM as staying, and when the agent restarts.
	listedLeaving map[string]bool
	// draining holds the servers whose agents have reported that they accept no more work, by server name.
	draining map[string]bool
	// down holds the servers that do not respond according to their agents' last reports, by server name.
	down map[string]bool
}

// New returns a controller that maintains the peers on b.
func New(b *board.Board) *Controller {
	return &Controller{board: b, listedLeaving: make(map[string]bool), draining: make(map[string]bool), down: make(map[string]bool)}
}

// Configured updates the peers to the site in force. It returns the servers that were added and the names of
// those that were removed. A server whose agent address or service changed is removed and added.
func (c *Controller) Configured() (added []server.Server, removed []string) {
	site := c.board.Site()
	for _, p := range c.board.Peers() {
		s, ok := site.Server(p.Server)
		if !ok || s.Agent() != p.Address || s.Service() != p.Service {
			c.board.RemovePeer(p.Server)
			delete(c.draining, p.Server)
			delete(c.down, p.Server)
			delete(c.listedLeaving, p.Server)
			removed = append(removed, p.Server)
		}
	}
	for _, s := range site.Servers() {
		if p, ok := c.board.Peer(s.Name()); ok {
			p.Place = s.Place()
			c.board.SetPeer(p)
			continue
		}
		c.board.SetPeer(board.Peer{
			Server: s.Name(), Service: s.Service(), Place: s.Place(), Address: s.Agent(),
			State: board.Silent, Slots: s.Slots(),
		})
		added = append(added, s)
	}
	return added, removed
}

// SessionOpened records that a server's agent has opened a session under the given incarnation. It reports whether
// the agent is now ready. A new incarnation starts without the leaving marks of the previous one; if its VM is
// leaving, the next VM list marks it again.
func (c *Controller) SessionOpened(name, incarnation string) bool {
	p, ok := c.board.Peer(name)
	if !ok {
		return false
	}
	if p.Incarnation != incarnation {
		delete(c.draining, name)
	}
	if p.Incarnation != "" && p.Incarnation != incarnation {
		delete(c.listedLeaving, name)
	}
	p.Incarnation = incarnation
	p.Load = 0
	p.State = c.state(p)
	c.board.SetPeer(p)
	return p.State == board.Ready
}

// Reported records an agent's report and returns the agent's resulting state. Reports of agents without a
// session are ignored.
func (c *Controller) Reported(name string, load, slots int, draining, down bool) board.PeerState {
	p, ok := c.board.Peer(name)
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
	c.board.SetPeer(p)
	return p.State
}

// SessionLost records that the connection to a server's agent was lost.
func (c *Controller) SessionLost(name string) {
	p, ok := c.board.Peer(name)
	if !ok {
		return
	}
	p.State = board.Silent
	c.board.SetPeer(p)
}

// VMListReceived applies the platform's VM list and returns the servers that it newly shows as leaving. Servers
// that are missing from the list keep their state, because the list lags and may be empty while servers respond.
// The list also does not make an agent without a session ready.
func (c *Controller) VMListReceived(vms []laburnumring.VM) []string {
	l := newVMList(vms)
	var out []string
	for _, p := range c.board.Peers() {
		if !c.updateListed(l, p) || p.State == board.Silent {
			continue
		}
		state := c.state(p)
		if state == board.Leaving && p.State != board.Leaving {
			out = append(out, p.Server)
		}
		p.State = state
		c.board.SetPeer(p)
	}
	return out
}

// updateListed updates listedLeaving for a server and reports whether the VM list names the server.
func (c *Controller) updateListed(l vmList, p board.Peer) bool {
	leaving, ok := l.lookup(p.Address, c.serverAddress(p.Server))
	switch {
	case !ok:
		return false
	case leaving:
		c.listedLeaving[p.Server] = true
	default:
		delete(c.listedLeaving, p.Server)
	}
	return true
}

func (c *Controller) serverAddress(name string) string {
	s, _ := c.board.Site().Server(name)
	return s.Address()
}

// state returns the state of an agent that has a session.
func (c *Controller) state(p board.Peer) board.PeerState {
	if c.draining[p.Server] || c.listedLeaving[p.Server] {
		return board.Leaving
	}
	if c.down[p.Server] {
		return board.Down
	}
	return board.Ready
}
