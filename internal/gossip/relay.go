package gossip

import (
	"net"
	"net/netip"
	"slices"

	"github.com/fxamacker/cbor/v2"

	"github.com/laburnumring/laburnumring/internal/event"
	"github.com/laburnumring/laburnumring/pkg/clock"
)

// envelope carries a message that one router forwards for another: messages to several routers of another data centre
// cross the link between the data centres once. Datagrams whose first byte starts a CBOR array are envelopes.
type envelope struct {
	_ struct{} `cbor:",toarray"`
	// From is the sender of the message. It is invalid on the way to the relay, which knows it from the datagram.
	From netip.Addr
	// To are the routers to which the relay forwards the message; empty after that.
	To      []netip.Addr
	Message []byte
}

// hop is where a message is sent, with the routers to which the receiver forwards it.
type hop struct {
	to      netip.Addr
	forward []netip.Addr
}

// majorTypeShift and cborArray identify a CBOR array by its first byte.
const (
	majorTypeShift = 5
	cborArray      = 4
)

func isEnvelope(data []byte) bool { return len(data) > 0 && data[0]>>majorTypeShift == cborArray }

// hops returns how a message reaches its recipients: directly in the own data centre, and through one of the recipients
// in each other. Relays change with each round, so that a relay which has failed costs single rounds only.
func (x *Exchange) hops(now clock.Millis, to []netip.Addr) []hop {
	x.mu.Lock()
	defer x.mu.Unlock()
	var out []hop
	groups := make(map[string][]netip.Addr)
	for _, a := range to {
		if p := x.peers[a]; p != nil && x.relays(now, p) {
			groups[p.place] = append(groups[p.place], a)
			continue
		}
		out = append(out, hop{to: a})
	}
	for _, group := range groups {
		slices.SortFunc(group, netip.Addr.Compare)
		i := int(x.seq % int64(len(group)))
		out = append(out, hop{to: group[i], forward: slices.Concat(group[:i], group[i+1:])})
	}
	return out
}

// relays reports whether a peer in another data centre forwards messages there: it has said that it does, and its
// latest message came in time. Callers hold mu.
func (x *Exchange) relays(now clock.Millis, p *peer) bool {
	return p.relays && !p.overloaded && p.place != "" && p.place != x.o.Place && now-p.lastReceived < x.peerTTL()/minPeerRounds
}

// unwrap returns the message in an envelope and its sender, and forwards it if this router is the relay. from is the
// sender of the datagram.
func (x *Exchange) unwrap(conn *net.UDPConn, from netip.Addr, data []byte) (netip.Addr, []byte, error) {
	var e envelope
	if err := cbor.Unmarshal(data, &e); err != nil {
		return from, nil, err
	}
	if e.From.IsValid() {
		return e.From, e.Message, nil
	}
	forwarded, err := encoding.Marshal(envelope{From: from, Message: e.Message})
	if err != nil {
		return from, nil, err
	}
	for _, a := range x.forwardable(e.To) {
		x.writeTo(conn, forwarded, a)
		x.forwarded.Add(1)
	}
	return from, e.Message, nil
}

// forwardable returns the peers of the own data centre among the addresses, at most one round's worth.
func (x *Exchange) forwardable(to []netip.Addr) []netip.Addr {
	x.mu.Lock()
	defer x.mu.Unlock()
	var out []netip.Addr
	for _, a := range to[:min(len(to), fanout)] {
		if p, ok := x.peers[a]; ok && p.place == x.o.Place {
			out = append(out, a)
		}
	}
	return out
}

// writeHop sends an encoded message on its way to one or several recipients.
func (x *Exchange) writeHop(conn *net.UDPConn, data []byte, h hop) {
	if len(h.forward) > 0 {
		wrapped, err := encoding.Marshal(envelope{To: h.forward, Message: data})
		if err != nil {
			x.o.Logger.Log(event.PeerMessageBad, "direction", "out", "error", err)
			return
		}
		data = wrapped
	}
	x.writeTo(conn, data, h.to)
}

// writeTo sends a datagram. One that cannot be sent counts as lost; the next round sends the state again.
func (x *Exchange) writeTo(conn *net.UDPConn, data []byte, to netip.Addr) {
	_, _ = conn.WriteToUDPAddrPort(data, netip.AddrPortFrom(to, x.o.Address.Port()))
	x.sentBytes.Add(int64(len(data)))
	x.mu.Lock()
	p := x.peers[to]
	crossing := p != nil && p.place != x.o.Place
	x.mu.Unlock()
	if crossing {
		x.crossedBytes.Add(int64(len(data)))
	}
}

// Stats counts what an Exchange has sent.
type Stats struct {
	// SentBytes is the size of all datagrams, CrossedBytes that of those to other data centres.
	SentBytes, CrossedBytes int64
	// Forwarded is the number of datagrams that were forwarded for routers in other data centres.
	Forwarded int64
}

// Stats returns what has been sent so far.
func (x *Exchange) Stats() Stats {
	return Stats{SentBytes: x.sentBytes.Load(), CrossedBytes: x.crossedBytes.Load(), Forwarded: x.forwarded.Load()}
}
