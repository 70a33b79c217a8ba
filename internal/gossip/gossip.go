// Package gossip exchanges the routers' soft state: what each has at the backend servers, what its teams ask for,
// and which versions it holds. Datagrams may be lost, as each one says everything anew.
package gossip

import (
	"cmp"
	"context"
	"errors"
	"net"
	"net/netip"
	"slices"
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
	// Heard holds the same ages by the word of routers from which the sender heard directly; nil in messages of routers
	// that do not tell.
	Heard *Ages `cbor:"13,keyasint"`
	// Work is the sender's load and rates.
	Work intake.Report `cbor:"7,keyasint"`
	// State says whether the sender takes new connections.
	State rotation.State `cbor:"11,keyasint"`
	// Suspects are the requests that may take servers down.
	Suspects []suspect.Entry `cbor:"9,keyasint"`
}

// Ages are how long ago the versions that a router holds were known to be the platform's newest; Unread when they were not.
type Ages struct {
	Configuration clock.Millis `cbor:"1,keyasint"`
	Roster        clock.Millis `cbor:"2,keyasint"`
}

// Unread is the age of what was not read.
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
	// minPeriod is the least time between messages; some requests arrive at each server in it. With many peers the
	// period is peerPeriod for each that gets one, which bounds what a small VM sends and reads.
	minPeriod  = 100 * time.Millisecond
	peerPeriod = 11 * time.Millisecond
	// roundPeers is the most peers that get a message in one period. What they learn they tell to others, so that news
	// reaches hundreds of routers in two or three periods.
	roundPeers = 27
	// maxNamed is how many peers a message names.
	maxNamed = 16
	// freshLife is the least time after its last message for which a peer counts as heard, and freshRounds how often it
	// would have had its turn meanwhile. Messages go on for peerLife more. seedPeriod is the time between messages to a
	// peer that is silent.
	freshLife   = 2 * clock.Second
	freshRounds = 3
	peerLife    = 8 * clock.Second
	seedPeriod  = 1 * clock.Second
	maxMessage  = 16 << 10
	maxPeers    = 1024
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
	life := x.life()
	for a, p := range x.peers {
		if p.heard != 0 && now-p.heard < life {
			out = append(out, a)
		}
	}
	return out
}

// life returns how long after its last message a peer counts as heard.
func (x *Exchange) life() clock.Millis {
	turn := clock.FromDuration(time.Duration(len(x.peers)) * peerPeriod)
	return max(freshLife, freshRounds*turn)
}

// due returns the peers that get a message now, those first that have waited longest.
func (x *Exchange) due(now clock.Millis) []netip.Addr {
	x.mu.Lock()
	defer x.mu.Unlock()
	var out []netip.Addr
	life := x.life()
	for a, p := range x.peers {
		silent := p.heard == 0 || now-p.heard > life
		switch {
		case silent && now-p.sent < seedPeriod:
			continue
		case silent && !x.seeds[a] && now-p.heard > life+peerLife:
			delete(x.peers, a)
			continue
		}
		out = append(out, a)
	}
	slices.SortFunc(out, func(a, b netip.Addr) int { return cmp.Compare(x.peers[a].sent, x.peers[b].sent) })
	out = out[:min(len(out), roundPeers)]
	for _, a := range out {
		x.peers[a].sent = now
	}
	return out
}

// send tells some peers and returns how many.
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
	// The order of a map is random.
	m.Peers = x.fresh(now)
	m.Peers = m.Peers[:min(len(m.Peers), maxNamed)]
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
	if m.Heard == nil {
		m.Heard = &Ages{Configuration: Unread, Roster: Unread}
	}
	for _, age := range []*clock.Millis{&m.ConfigurationAge, &m.RosterAge, &m.Heard.Configuration, &m.Heard.Roster} {
		if *age != Unread {
			*age += late
		}
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
			x.peers[a] = &peer{heard: now - x.life()}
		}
	}
	return late, true
}
