// Package board is the blackboard of one process: what its controllers know in common.
package board

import (
	"slices"
	"strings"

	"github.com/laburnumring/laburnumring/pkg/site"
)

// PeerState is what a router believes of an agent.
type PeerState int

// The states of a peer.
const (
	// Silent means that the agent does not answer, or has not yet.
	Silent PeerState = iota + 1
	// Ready means that the agent takes work.
	Ready
	// Leaving means that the agent, or the VM list, says that its VM is going away.
	Leaving
	// Down means that the agent answers and its backend server does not.
	Down
)

// Peer is one agent as a router knows it.
type Peer struct {
	// Server, Service and Place are names from the site's configuration.
	Server  string
	Service string
	Place   string
	// Address is the agent's IP address and port.
	Address string
	// Incarnation is unique to the agent's current run; empty while Silent.
	Incarnation string
	// State is one of the constants.
	State PeerState
	// Slots is the most requests that the server runs at once.
	Slots int
	// Load is how many requests the agent last said to hold, running or waiting.
	Load int
}

// Board is written by the controller named at each field and read by all. It is used by one goroutine at a
// time.
type Board struct {
	// site is nil until the configuration controller holds one; version grows with each change of it.
	site    *site.Site
	version int64
	// peers is written by the membership controller; keyed by server name.
	peers map[string]*Peer
}

// New returns an empty board.
func New() *Board {
	return &Board{peers: make(map[string]*Peer)}
}

// Site returns the configuration in force, or nil.
func (b *Board) Site() *site.Site { return b.site }

// Version returns the version of the configuration in force; 0 without one.
func (b *Board) Version() int64 { return b.version }

// SetSite puts a configuration in force. It panics when version is not above the current one.
func (b *Board) SetSite(s *site.Site, version int64) {
	if version <= b.version {
		panic("configuration version fell")
	}
	b.site = s
	b.version = version
}

// Peer returns the agent beside the named server.
func (b *Board) Peer(server string) (Peer, bool) {
	p, ok := b.peers[server]
	if !ok {
		return Peer{}, false
	}
	return *p, true
}

// SetPeer stores p under its server's name.
func (b *Board) SetPeer(p Peer) { b.peers[p.Server] = &p }

// RemovePeer forgets the named server.
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

// ReadyPeers returns the peers of a service that take work, sorted by server name.
func (b *Board) ReadyPeers(service string) []Peer {
	return slices.DeleteFunc(b.Peers(), func(p Peer) bool { return p.Service != service || p.State != Ready })
}
