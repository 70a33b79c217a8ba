// Package gossip exchanges soft state between the routers over UDP: the load that each router puts on the backend
// servers, the demand of its teams, and the versions of the configuration and the server list that it holds. Lost
// datagrams need no retransmission, because each message carries the sender's full state.
package gossip

import (
	"cmp"
	"context"
	"errors"
	"net"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/joomcode/errorx"

	"github.com/laburnumring/laburnumring"
	"github.com/laburnumring/laburnumring/internal/evacuation"
	"github.com/laburnumring/laburnumring/internal/event"
	"github.com/laburnumring/laburnumring/internal/intake"
	"github.com/laburnumring/laburnumring/internal/interval"
	"github.com/laburnumring/laburnumring/internal/quarantine"
	"github.com/laburnumring/laburnumring/internal/rotation"
	"github.com/laburnumring/laburnumring/internal/transit"
	"github.com/laburnumring/laburnumring/pkg/clock"
)

// Message is the state that a router sends to its peers.
type Message struct {
	// Incarnation is unique to one run of the sender's process. Seq numbers its messages.
	Incarnation string `cbor:"1,keyasint"`
	Seq         int64  `cbor:"2,keyasint"`
	// Sent is the time at which the message was created, on the sender's clock.
	Sent clock.Millis `cbor:"12,keyasint"`
	// Peers are the IP addresses of routers from which the sender has recently received messages.
	Peers []netip.Addr `cbor:"3,keyasint"`
	// Configuration is the version of the configuration that the sender holds, Roster the revision of its server
	// list.
	Configuration int64 `cbor:"4,keyasint"`
	Roster        int64 `cbor:"5,keyasint"`
	// ConfigurationAge and RosterAge are how long before the message is handled the sender itself last confirmed with
	// the platform that these versions are the newest; UnknownAge when it never has.
	ConfigurationAge clock.Millis `cbor:"6,keyasint"`
	RosterAge        clock.Millis `cbor:"10,keyasint"`
	// Relayed holds the same ages as reported to the sender by routers that confirmed the versions themselves. It is
	// nil in messages of routers that do not send it.
	Relayed *Ages `cbor:"13,keyasint"`
	// Work is the sender's load on the servers and the rates of its teams.
	Work intake.Report `cbor:"7,keyasint"`
	// State says whether the sender accepts new connections.
	State rotation.State `cbor:"11,keyasint"`
	// Quarantine is the evidence against prompt parts and requests that crash servers. Number 9 was that of suspected
	// requests.
	Quarantine quarantine.Report `cbor:"15,keyasint,omitempty"`
	// Versions are software versions that the sender has recorded on the platform.
	Versions []laburnumring.SoftwareVersion `cbor:"16,keyasint,omitempty"`
	// Origins holds the origins of streams that the sender has begun, encoded by laburnumring.EncodeOrigins.
	Origins []byte `cbor:"17,keyasint,omitempty"`
	// Evacuated is what the sender knows of evacuated places; nil if there never were any.
	Evacuated *evacuation.Report `cbor:"18,keyasint,omitempty"`
	// Departures are servers that have recently said that they leave.
	Departures []Departure `cbor:"14,keyasint,omitempty"`
	// Relays is set if the sender forwards messages to other routers in its data centre.
	Relays bool `cbor:"20,keyasint,omitempty"`
}

// Departure is a server that has said that it leaves.
type Departure struct {
	_       struct{} `cbor:",toarray"`
	Server  string
	Born    int64
	Address string
	// Age is how long before the message the first router knew of it.
	Age clock.Millis
}

// Ages are how long ago the versions that a router holds were last known to be the platform's newest; UnknownAge when
// they never were.
type Ages struct {
	Configuration clock.Millis `cbor:"1,keyasint"`
	Roster        clock.Millis `cbor:"2,keyasint"`
}

// UnknownAge is an age that is not known.
const UnknownAge clock.Millis = -1

// Options are the settings of an Exchange.
type Options struct {
	// Address is the IP address of this router and the UDP port that all routers use.
	Address netip.AddrPort
	// Seeds are the IP addresses of the routers to contact first.
	Seeds []netip.Addr
	// Incarnation is unique to this run of the process.
	Incarnation string
	// Place is the name of the router's data centre. If it is empty, all messages are sent directly.
	Place  string
	Clock  laburnumring.Clock
	Logger *event.Logger
	// Message returns the state to send. Received is called with each message from a peer that is newer than the
	// peer's last one.
	Message  func() Message
	Received func(from netip.Addr, m Message)
	// Origins returns the origins that messages to some peers carry in addition, and whether a peer is one of these. It
	// may be nil.
	Origins func() (origins []byte, to func(netip.Addr) bool)
}

const (
	// minPeriod is the minimum time between two rounds of messages, and periodPerPeer the time for each peer that
	// gets a message in a round. With many peers the period is periodPerPeer times their number, which limits what a
	// small VM sends and reads. The period is long enough for some requests to reach each server in it.
	minPeriod     = 100 * time.Millisecond
	periodPerPeer = 11 * time.Millisecond
	// fanout is the maximum number of peers that get a message in one round. They pass on what they learn, so an
	// update reaches hundreds of routers in two or three rounds.
	fanout = 27
	// maxListedPeers is the maximum number of peer addresses in a message.
	maxListedPeers = 16
	// A peer is live for minPeerTTL after its last message, or longer with many peers: for the time of minPeerRounds
	// rounds through all peers. Messages to a silent peer continue for forgetAfter more, one per silentPeerPeriod;
	// after that the peer is removed unless it is a seed.
	minPeerTTL       = 2 * clock.Second
	minPeerRounds    = 3
	forgetAfter      = 8 * clock.Second
	silentPeerPeriod = 1 * clock.Second
	// maxMessageBytes is the size of the buffer for received datagrams. maxPeers limits the peers that are learned
	// from other peers' messages.
	maxMessageBytes = 16 << 10
	maxPeers        = 1024
)

// encoding shortens the rates to 16-bit floats, since three digits are precise enough.
var encoding = mustEncoding()

func mustEncoding() cbor.EncMode {
	m, err := cbor.EncOptions{ShortestFloat: cbor.ShortestFloat16}.EncMode()
	if err != nil {
		panic(err)
	}
	return m
}

// peer is a known router, which may not have sent a message yet.
type peer struct {
	// lastReceived is when its last message arrived; 0 before the first. lastSent is when the last message was sent
	// to it.
	lastReceived clock.Millis
	lastSent     clock.Millis
	incarnation  string
	seq          int64
	// delays estimates how long the peer's messages were delayed.
	delays transit.Meter
	// place is the peer's data centre; empty before its first message. relays is set if it forwards messages there, and
	// overloaded if it has too little processor time.
	place      string
	relays     bool
	overloaded bool
}

// Exchange sends messages to the peers and receives theirs. It is safe for concurrent use.
type Exchange struct {
	o Options
	// sentBytes, crossedBytes and forwarded are the fields of Stats.
	sentBytes, crossedBytes, forwarded atomic.Int64

	mu sync.Mutex
	// peers holds all known routers. Those in seeds are never removed.
	peers map[netip.Addr]*peer
	seeds map[netip.Addr]bool
	seq   int64
}

// New returns an exchange that is idle until Run is called.
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

// Run sends and receives messages until ctx ends. It returns an error when the UDP socket cannot be opened or closed.
func (x *Exchange) Run(ctx context.Context) error {
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(x.o.Address))
	if err != nil {
		return errorx.Decorate(err, "listen for peers")
	}
	var wg sync.WaitGroup
	wg.Go(func() { x.receive(conn) })
	for ctx.Err() == nil {
		n := x.send(conn)
		interval.Sleep(ctx, max(minPeriod, time.Duration(n)*periodPerPeer))
	}
	err = conn.Close()
	wg.Wait()
	return err
}

// Peers returns the IP addresses of the live peers, those from which a message arrived within the peer TTL.
func (x *Exchange) Peers() []netip.Addr {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.livePeers(x.o.Clock.Now())
}

// Rounds returns the number of rounds of messages in which each live peer gets one.
func (x *Exchange) Rounds() int { return max(1, (len(x.Peers())+fanout-1)/fanout) }

// livePeers is Peers for callers that hold mu.
func (x *Exchange) livePeers(now clock.Millis) []netip.Addr {
	var out []netip.Addr
	ttl := x.peerTTL()
	for a, p := range x.peers {
		if p.lastReceived != 0 && now-p.lastReceived < ttl {
			out = append(out, a)
		}
	}
	return out
}

// peerTTL returns how long after its last message a peer counts as live. Callers hold mu.
func (x *Exchange) peerTTL() clock.Millis {
	round := clock.FromDuration(time.Duration(len(x.peers)) * periodPerPeer)
	return max(minPeerTTL, minPeerRounds*round)
}

// recipients returns the peers that get a message in this round, those with the oldest last message first, and
// removes the peers that have been silent for too long.
func (x *Exchange) recipients(now clock.Millis) []netip.Addr {
	x.mu.Lock()
	defer x.mu.Unlock()
	var out []netip.Addr
	ttl := x.peerTTL()
	for a, p := range x.peers {
		silent := p.lastReceived == 0 || now-p.lastReceived > ttl
		switch {
		case silent && now-p.lastSent < silentPeerPeriod:
			continue
		case silent && !x.seeds[a] && now-p.lastReceived > ttl+forgetAfter:
			delete(x.peers, a)
			continue
		}
		out = append(out, a)
	}
	slices.SortFunc(out, func(a, b netip.Addr) int { return cmp.Compare(x.peers[a].lastSent, x.peers[b].lastSent) })
	out = out[:min(len(out), fanout)]
	for _, a := range out {
		x.peers[a].lastSent = now
	}
	return out
}

// send sends a message to the recipients of this round and returns their number.
func (x *Exchange) send(conn *net.UDPConn) int {
	now := x.o.Clock.Now()
	to := x.recipients(now)
	if len(to) == 0 {
		return 0
	}
	m := x.o.Message()
	x.mu.Lock()
	x.seq++
	m.Seq = x.seq
	// Map order is random, so each message lists other peers.
	m.Peers = x.livePeers(now)
	m.Peers = m.Peers[:min(len(m.Peers), maxListedPeers)]
	x.mu.Unlock()
	m.Incarnation, m.Sent, m.Relays = x.o.Incarnation, now, x.o.Place != ""
	n := len(to)
	if origins, gets := x.origins(); len(origins) > 0 {
		with := m
		with.Origins = origins
		x.write(conn, now, with, slices.DeleteFunc(slices.Clone(to), func(a netip.Addr) bool { return !gets(a) }))
		to = slices.DeleteFunc(to, gets)
	}
	x.write(conn, now, m, to)
	return n
}

func (x *Exchange) origins() (origins []byte, to func(netip.Addr) bool) {
	if x.o.Origins == nil {
		return nil, nil
	}
	return x.o.Origins()
}

// write sends a message to peers.
func (x *Exchange) write(conn *net.UDPConn, now clock.Millis, m Message, to []netip.Addr) {
	if len(to) == 0 {
		return
	}
	data, err := encoding.Marshal(m)
	if err != nil {
		x.o.Logger.Log(event.PeerMessageBad, "direction", "out", "error", err)
		return
	}
	for _, h := range x.hops(now, to) {
		x.writeHop(conn, data, h)
	}
}

func (x *Exchange) receive(conn *net.UDPConn) {
	buf := make([]byte, maxMessageBytes)
	for {
		n, source, err := conn.ReadFromUDPAddrPort(buf)
		if err != nil {
			if errors.Is(err, net.ErrClosed) {
				return
			}
			continue
		}
		from, data := source.Addr().Unmap(), buf[:n]
		if isEnvelope(data) {
			from, data, err = x.unwrap(conn, from, data)
		}
		var m Message
		if err == nil {
			err = cbor.Unmarshal(data, &m)
		}
		if err != nil {
			x.o.Logger.Log(event.PeerMessageBad, "direction", "in", "peer", source.Addr(), "error", err)
			continue
		}
		delay, newer := x.record(from, m)
		if newer {
			x.o.Received(from, m.addDelay(delay))
		}
	}
}

// addDelay returns the message with its ages increased by the time for which it was delayed, so that they are right
// at the time of handling.
func (m Message) addDelay(delay clock.Millis) Message {
	if m.Relayed == nil {
		m.Relayed = &Ages{Configuration: UnknownAge, Roster: UnknownAge}
	}
	for _, age := range []*clock.Millis{&m.ConfigurationAge, &m.RosterAge, &m.Relayed.Configuration, &m.Relayed.Roster} {
		if *age != UnknownAge {
			*age += delay
		}
	}
	m.Quarantine = m.Quarantine.AddDelay(delay)
	m.Work = m.Work.WithDelay(delay)
	m.Evacuated = m.Evacuated.WithDelay(delay)
	return m
}

// record records the arrival of a message and adds the peers that it lists. It returns for how long the message was
// delayed and whether it is newer than the sender's last one. A message of this router itself never counts as newer.
func (x *Exchange) record(from netip.Addr, m Message) (clock.Millis, bool) {
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
		p.delays = transit.Meter{}
	}
	p.lastReceived, p.incarnation, p.seq = now, m.Incarnation, m.Seq
	p.place, p.relays, p.overloaded = m.State.Place, m.Relays, m.State.Overloaded
	delay := p.delays.ExtraDelay(now, m.Sent)
	for _, a := range m.Peers {
		if _, ok := x.peers[a]; !ok && a != x.o.Address.Addr() && len(x.peers) < maxPeers {
			// The peer becomes live with its first message. Until then it gets messages like a silent peer and is
			// removed after forgetAfter.
			x.peers[a] = &peer{lastReceived: now - x.peerTTL()}
		}
	}
	return delay, true
}
