// Package board holds the state that the controllers of one process share: the current configuration and the agents.
// An agent runs beside each backend server and passes it the requests of the routers.
package board

import (
	"slices"
	"strings"

	"github.com/laburnumring/laburnumring/pkg/site"
)

// PeerState is the state of an agent as a router knows it.
type PeerState int

// The states of a peer.
const (
	// Silent means that the agent does not answer, or has not answered yet.
	Silent PeerState = iota + 1
	// Ready means that the agent accepts work.
	Ready
	// Leaving means that the agent's VM is about to go away, as reported by the agent or by the VM list.
	Leaving
	// Down means that the agent answers but its backend server does not.
	Down
)

// Peer is an agent as a router knows it.
type Peer struct {
	// Server, Service and Place are names from the site's configuration.
	Server  string
	Service string
	Place   string
	// Address is the agent's IP address and port.
	Address string
	// Incarnation is unique to the agent's current run; empty while Silent.
	Incarnation string
	State       PeerState
	// Slots is the largest number of requests that the server runs at once.
	Slots int
	// Load is the number of running and waiting requests that the agent last reported.
	Load int
}

// Board is the shared state. Each field is written by one controller and read by all. It is used by one goroutine at
// a time.
type Board struct {
	// site is nil until the configuration controller sets one; version increases with each change of it.
	site    *site.Site
	version int64
	// peers is written by the membership controller. It holds the agents by the name of their server.
	peers map[string]*Peer
}

// New returns a board without configuration and peers.
func New() *Board {
	return &Board{peers: make(map[string]*Peer)}
}

// Site returns the current configuration, or nil.
func (b *Board) Site() *site.Site { return b.site }

// Version returns the version of the current configuration; 0 if there is none.
func (b *Board) Version() int64 { return b.version }

// SetSite sets the current configuration. It panics when version is not above the current one.
func (b *Board) SetSite(s *site.Site, version int64) {
	if version <= b.version {
		panic("board: configuration version did not increase")
	}
	b.site = s
	b.version = version
}

// Peer returns the agent of the named server.
func (b *Board) Peer(server string) (Peer, bool) {
	p, ok := b.peers[server]
	if !ok {
		return Peer{}, false
	}
	return *p, true
}

// SetPeer adds p, or replaces the peer with the same server.
func (b *Board) SetPeer(p Peer) { b.peers[p.Server] = &p }

// RemovePeer removes the agent of the named server.
func (b *Board) RemovePeer(server string) { delete(b.peers, server) }

// Peers returns all peers sorted by server name.
func (b *Board) Peers() []Peer {
	out := make([]Peer, 0, len(b.peers))
	for _, p := range b.peers {
		out = append(out, *p)
	}
	slices.SortFunc(out, func(a, c Peer) int { return strings.Compare(a.Server, c.Server) })
	return out
}

// ReadyPeers returns the peers of a service that accept work, sorted by server name.
func (b *Board) ReadyPeers(service string) []Peer {
	return slices.DeleteFunc(b.Peers(), func(p Peer) bool { return p.Service != service || p.State != Ready })
}
