// Package gossip exchanges the routers' soft state: what each has at the backend servers, what its teams ask for,
// and which versions it holds. Datagrams may be lost, as each one says everything anew.
package gossip

import (
	"context"
	"errors"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/joomcode/errorx"

	"github.com/laburnumring/laburnumring"
	"github.com/laburnumring/laburnumring/internal/event"
	"github.com/laburnumring/laburnumring/internal/intake"
	"github.com/laburnumring/laburnumring/internal/interval"
	"github.com/laburnumring/laburnumring/internal/rotation"
	"github.com/laburnumring/laburnumring/internal/suspect"
	"github.com/laburnumring/laburnumring/internal/transit"
	"github.com/laburnumring/laburnumring/pkg/clock"
)

// Message is what a router tells its peers.
type Message struct {
	// Incarnation is unique to the run of the sender's process, Seq numbers its messages.
	Incarnation string `cbor:"1,keyasint"`
	Seq         int64  `cbor:"2,keyasint"`
	// Sent is when the message was made by the sender's clock.
	Sent clock.Millis `cbor:"12,keyasint"`
	// Peers are the IP addresses of the routers that the sender heard from lately.
	Peers []netip.Addr `cbor:"3,keyasint"`
	// Configuration and Roster are the versions that the sender holds.
	Configuration int64 `cbor:"4,keyasint"`
	Roster        int64 `cbor:"5,keyasint"`
	// ConfigurationAge and RosterAge are how long before the message's handling the sender itself found them to be the
	// platform's newest; Unread when it has not.
	ConfigurationAge clock.Millis `cbor:"6,keyasint"`
	RosterAge        clock.Millis `cbor:"10,keyasint"`
	// Work is the sender's load and rates.
	Work intake.Report `cbor:"7,keyasint"`
	// State says whether the sender takes new connections.
	State rotation.State `cbor:"11,keyasint"`
	// Suspects are the requests that may take servers down.
	Suspects []suspect.Entry `cbor:"9,keyasint"`
}

// Unread is the age of what the sender has not read itself.
const Unread clock.Millis = -1

// Options are the settings of an Exchange.
type Options struct {
	// Address is the IP address of this router and the port that all routers use.
	Address netip.AddrPort
	// Seeds are IP addresses of routers to begin with.
	Seeds []netip.Addr
	// Incarnation is unique to this run of the process.
	Incarnation string
	Clock       laburnumring.Clock
	Logger      *event.Logger
	// Message returns what to tell; Received takes what a peer tells.
	Message  func() Message
	Received func(from netip.Addr, m Message)
}

const (
	// minPeriod is the time between messages among few routers; some requests arrive at each server in it. With many
	// the period is peerPeriod for each, which bounds what a small VM sends and reads.
	minPeriod  = 100 * time.Millisecond
	peerPeriod = 11 * time.Millisecond
	// peerLife is how long after its last message a peer still gets messages, and seedPeriod the time between
	// messages to a seed that is silent.
	peerLife   = 10 * clock.Second
	freshLife  = 2 * clock.Second
	seedPeriod = 1 * clock.Second
	maxMessage = 16 << 10
	maxPeers   = 1024
)

// encoding shortens the rates, of which nobody needs more than three digits.
var encoding = mustEncoding()

func mustEncoding() cbor.EncMode {
	m, err := cbor.EncOptions{ShortestFloat: cbor.ShortestFloat16}.EncMode()
	if err != nil {
		panic(err)
	}
	return m
}

// peer is a router that was heard of.
type peer struct {
	// heard is when its last message came; 0 before the first. sent is when it was last sent one.
	heard       clock.Millis
	sent        clock.Millis
	incarnation string
	seq         int64
	// way tells messages that were held up.
	way transit.Meter
}

// Exchange sends and receives messages.
type Exchange struct {
	o Options

	mu sync.Mutex
	// peers holds the routers that were heard of; seeds stay.
	peers map[netip.Addr]*peer
	seeds map[netip.Addr]bool
	seq   int64
}

// New returns an exchange that does nothing until Run.
func New(o Options) *Exchange {
	x := &Exchange{o: o, peers: make(map[netip.Addr]*peer), seeds: make(map[netip.Addr]bool)}
	for _, a := range o.Seeds {
		if a != o.Address.Addr() {
			x.seeds[a] = true
			x.peers[a] = &peer{}
		}
	}
	return x
}

// Run works until ctx ends.
func (x *Exchange) Run(ctx context.Context) error {
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(x.o.Address))
	if err != nil {
		return errorx.Decorate(err, "listen for peers")
	}
	var wg sync.WaitGroup
	wg.Go(func() { x.receive(conn) })
	for ctx.Err() == nil {
		peers := x.send(conn)
		interval.Sleep(ctx, max(minPeriod, time.Duration(peers)*peerPeriod))
	}
	err = conn.Close()
	wg.Wait()
	return err
}

// Peers returns the IP addresses of the routers heard from lately.
func (x *Exchange) Peers() []netip.Addr {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.fresh(x.o.Clock.Now())
}

func (x *Exchange) fresh(now clock.Millis) []netip.Addr {
	var out []netip.Addr
	for a, p := range x.peers {
		if p.heard != 0 && now-p.heard < freshLife {
			out = append(out, a)
		}
	}
	return out
}

// due returns the peers that get a message now.
func (x *Exchange) due(now clock.Millis) []netip.Addr {
	x.mu.Lock()
	defer x.mu.Unlock()
	var out []netip.Addr
	for a, p := range x.peers {
		silent := p.heard == 0 || now-p.heard > freshLife
		switch {
		case silent && now-p.sent < seedPeriod:
			continue
		case silent && !x.seeds[a] && now-p.heard > peerLife:
			delete(x.peers, a)
			continue
		}
		p.sent = now
		out = append(out, a)
	}
	return out
}

// send tells the peers and returns how many there are.
func (x *Exchange) send(conn *net.UDPConn) int {
	now := x.o.Clock.Now()
	to := x.due(now)
	if len(to) == 0 {
		return 0
	}
	m := x.o.Message()
	x.mu.Lock()
	x.seq++
	m.Seq = x.seq
	m.Peers = x.fresh(now)
	x.mu.Unlock()
	m.Incarnation, m.Sent = x.o.Incarnation, now
	data, err := encoding.Marshal(m)
	if err != nil {
		x.o.Logger.Log(event.PeerMessageBad, "direction", "out", "error", err)
		return len(to)
	}
	for _, a := range to {
		// A datagram that cannot be sent is one that is lost; the next one follows.
		_, _ = conn.WriteToUDPAddrPort(data, netip.AddrPortFrom(a, x.o.Address.Port()))
	}
	return len(to)
}

func (x *Exchange) receive(conn *net.UDPConn) {
	buf := make([]byte, maxMessage)
	for {
		n, from, err := conn.ReadFromUDPAddrPort(buf)
		if err != nil {
			if errors.Is(err, net.ErrClosed) {
				return
			}
			continue
		}
		var m Message
		if err := cbor.Unmarshal(buf[:n], &m); err != nil {
			x.o.Logger.Log(event.PeerMessageBad, "direction", "in", "peer", from.Addr(), "error", err)
			continue
		}
		late, newer := x.note(from.Addr().Unmap(), m)
		if newer {
			x.o.Received(from.Addr().Unmap(), m.older(late))
		}
	}
}

// older returns the message with its ages at the time of its handling, when it was held up for a while on its way.
func (m Message) older(late clock.Millis) Message {
	if m.ConfigurationAge != Unread {
		m.ConfigurationAge += late
	}
	if m.RosterAge != Unread {
		m.RosterAge += late
	}
	return m
}

// note records that a message came. It returns for how long the message was held up and whether it is newer than the
// last one.
func (x *Exchange) note(from netip.Addr, m Message) (clock.Millis, bool) {
	now := x.o.Clock.Now()
	x.mu.Lock()
	defer x.mu.Unlock()
	if from == x.o.Address.Addr() || m.Incarnation == x.o.Incarnation {
		return 0, false
	}
	p, ok := x.peers[from]
	if !ok {
		p = &peer{}
		x.peers[from] = p
	}
	if p.incarnation == m.Incarnation && m.Seq <= p.seq {
		return 0, false
	}
	if p.incarnation != m.Incarnation {
		p.way = transit.Meter{}
	}
	p.heard, p.incarnation, p.seq = now, m.Incarnation, m.Seq
	late := p.way.Late(now, m.Sent)
	for _, a := range m.Peers {
		if _, ok := x.peers[a]; !ok && a != x.o.Address.Addr() && len(x.peers) < maxPeers {
			// Its first message makes it a peer of its own; until then it is tried for a while.
			x.peers[a] = &peer{heard: now - freshLife}
		}
	}
	return late, true
}
