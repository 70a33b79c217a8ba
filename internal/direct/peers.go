package direct

import (
	"context"
	"errors"
	"net"
	"net/netip"
	"net/rpc"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/joomcode/errorx"

	"github.com/laburnumring/laburnumring"
	"github.com/laburnumring/laburnumring/internal/deadpeer"
	"github.com/laburnumring/laburnumring/internal/event"
	"github.com/laburnumring/laburnumring/internal/gossip"
	"github.com/laburnumring/laburnumring/internal/interval"
	"github.com/laburnumring/laburnumring/internal/readshare"
	"github.com/laburnumring/laburnumring/internal/roster"
	"github.com/laburnumring/laburnumring/pkg/clock"
)

// message returns the message that is sent to the peers.
func (r *Router) message() gossip.Message {
	now := r.o.Clock.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	return gossip.Message{
		Configuration: r.configuration.Version, Roster: r.roster.Revision(),
		ConfigurationAge: ageOrUnknown(r.configurationReads.Age(now)), RosterAge: ageOrUnknown(r.listReads.Age(now)),
		Relayed: &gossip.Ages{
			Configuration: ageOrUnknown(r.configurationReads.ReceivedAge(now)), Roster: ageOrUnknown(r.listReads.ReceivedAge(now)),
		},
		Work: r.intake.Report(now), Quarantine: r.quarantine.Report(now), State: r.state(now),
		Departures: r.departures(now), Versions: r.lineage.Announcements(),
		Evacuated: r.evacuated.Report(now),
	}
}

// departures returns the recent departures of servers for the peers. The caller holds mu.
func (r *Router) departures(now clock.Millis) []gossip.Departure {
	var out []gossip.Departure
	for _, d := range r.roster.Departures(now - departureTTL) {
		out = append(out, gossip.Departure{Server: d.Server, Born: d.Born, Address: d.Address, Age: now - d.At})
	}
	return out
}

// recordDepartures applies the departures of servers that a peer reports. The caller holds mu.
func (r *Router) recordDepartures(now clock.Millis, from string, list []gossip.Departure) {
	changed := false
	for _, d := range list {
		if d.Age < 0 || d.Age > departureTTL {
			continue
		}
		if r.roster.RecordDeparture(roster.Departure{Server: d.Server, Born: d.Born, Address: d.Address, At: now - d.Age}) {
			r.o.Logger.Log(event.ServerLeaves, "server", d.Server, "address", d.Address, "born", d.Born, "source", from)
			changed = true
		}
	}
	if changed {
		r.serversChanged(from)
	}
}

// received applies a peer's message, and fetches from the peer what it has newer.
func (r *Router) received(from netip.Addr, m gossip.Message) {
	now := r.o.Clock.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.intake.Merge(now, from.String(), m.Work)
	r.rotation.Merge(now, from.String(), m.State)
	r.quarantine.Merge(now, m.Quarantine)
	r.recordDepartures(now, from.String(), m.Departures)
	r.mergeEvacuations(now, from.String(), m)
	rank := r.rank()
	r.lineage.Announced(now, m.Versions[:min(len(m.Versions), maxAnnouncements)])
	if rank < originWriters {
		r.lineage.Relayed(now, laburnumring.DecodeOrigins(m.Origins))
	}
	r.configurationReads.SetRank(rank)
	r.listReads.SetRank(rank)
	still := r.stoodStill(now)
	// The evacuated places are read together with the configuration, and a peer's age is that of both.
	if !still && m.Configuration == r.configuration.Version && r.evacuated.Confirms(m.Evacuated) {
		confirm(r.configurationReads, now, m.ConfigurationAge, m.Relayed.Configuration)
	}
	listRead := false
	for _, age := range []clock.Millis{m.RosterAge, m.Relayed.Roster} {
		if age != gossip.UnknownAge {
			if !still {
				r.roster.ReadSucceeded(now - age)
			}
			listRead = listRead || age <= maxListAge
		}
	}
	// The ages in a message that waited in a standstill are too low.
	if listRead && !still && m.Roster == r.roster.Revision() {
		confirm(r.listReads, now, m.RosterAge, m.Relayed.Roster)
		r.notifyListUpdated()
	}
	newer := m.Configuration > r.configuration.Version || listRead && m.Roster > r.roster.Revision()
	if newer && !r.fetching {
		r.fetching = true
		r.background.Go(func() { r.fetchNewer(from) })
	}
}

// confirm applies the ages that a peer reports for the version that both routers hold: age by its own reads, relayed by
// what it received from others.
func confirm(s *readshare.Schedule, now, age, relayed clock.Millis) {
	if age != gossip.UnknownAge {
		s.Confirmed(now, age)
	}
	if relayed != gossip.UnknownAge {
		s.Relayed(now, relayed)
	}
}

const (
	// departureTTL is how long messages repeat that a server leaves. It covers three rounds through hundreds of peers.
	departureTTL = 4 * clock.Second
)

// ageOrUnknown returns an age, or the unknown age if ok is false.
func ageOrUnknown(age clock.Millis, ok bool) clock.Millis {
	if ok {
		return age
	}
	return gossip.UnknownAge
}

// rank returns the number of known routers that precede this one. They are ordered by hash, so that the first few are
// in different data centres.
func (r *Router) rank() int {
	own := orderOf(r.o.Address.Addr())
	n := 0
	for _, a := range r.gossip.Peers() {
		if orderOf(a) < own {
			n++
		}
	}
	return n
}

// orderOf returns the number by which routers are ordered.
func orderOf(a netip.Addr) uint64 { return xxhash.Sum64String(a.String()) }

// Known is what a router holds when it asks a peer for newer state.
type Known struct {
	Configuration int64
	Roster        int64
}

// State is the state that a peer has newer; a field is empty if the peer has nothing newer.
type State struct {
	Configuration laburnumring.ConfigurationText
	Servers       laburnumring.ServerList
	// ServersAge is how long ago the peer's own read last found the list to be the platform's newest. ServersHeard is
	// the same for reads that other routers reported to the peer. Either is an unknown age if there was no such read.
	ServersAge   clock.Millis
	ServersHeard clock.Millis
}

// Peers is the RPC service that routers offer each other.
type Peers struct {
	r *Router
}

// Newer returns the state of this router that is newer than what the caller holds.
func (p *Peers) Newer(k Known, s *State) error {
	p.r.mu.Lock()
	defer p.r.mu.Unlock()
	if p.r.configuration.Version > k.Configuration {
		s.Configuration = p.r.configuration
	}
	if p.r.roster.Revision() > k.Roster {
		s.Servers = p.r.roster.List()
		now := p.r.o.Clock.Now()
		s.ServersAge, s.ServersHeard = ageOrUnknown(p.r.listReads.Age(now)), ageOrUnknown(p.r.listReads.ReceivedAge(now))
	}
	return nil
}

const (
	// peerTimeout limits one exchange with a peer.
	peerTimeout = 1 * time.Second
	// maxPeerConns limits the connections from peers that are served at the same time.
	maxPeerConns = 64
)

// fetchNewer fetches and applies what a peer has newer.
func (r *Router) fetchNewer(from netip.Addr) {
	defer func() {
		r.mu.Lock()
		r.fetching = false
		r.mu.Unlock()
	}()
	r.mu.Lock()
	k := Known{Configuration: r.configuration.Version, Roster: r.roster.Revision()}
	r.mu.Unlock()
	began := r.o.Clock.Now()
	s, err := callNewer(netip.AddrPortFrom(from, r.o.Address.Port()), k)
	if err != nil {
		// The next message from any peer triggers another try.
		r.o.Logger.Log(event.ConfigNotExchanged, "peer", from, "error", err)
		return
	}
	r.o.Logger.Log(event.PeerStateReceived, "peer", from, "configuration", s.Configuration.Version,
		"roster", s.Servers.Revision)
	r.configure(s.Configuration, from.String())
	r.mu.Lock()
	defer r.mu.Unlock()
	if s.Servers.Revision <= r.roster.Revision() {
		return
	}
	at := clock.Millis(0)
	for _, age := range []clock.Millis{s.ServersAge, s.ServersHeard} {
		if age != gossip.UnknownAge {
			at = max(at, began-age)
		}
	}
	r.applyServers(s.Servers, at, from.String())
	confirm(r.listReads, began, s.ServersAge, s.ServersHeard)
	r.notifyListUpdated()
}

func callNewer(address netip.AddrPort, k Known) (State, error) {
	conn, err := net.DialTimeout("tcp", address.String(), peerTimeout)
	if err != nil {
		return State{}, errorx.Decorate(err, "ask peer")
	}
	defer func() { _ = conn.Close() }()
	if err := conn.SetDeadline(time.Now().Add(peerTimeout)); err != nil {
		return State{}, errorx.Decorate(err, "ask peer")
	}
	c := rpc.NewClient(conn)
	defer func() { _ = c.Close() }()
	var s State
	return s, c.Call("Peers.Newer", k, &s)
}

// servePeers serves peers until ctx ends.
func (r *Router) servePeers(ctx context.Context) error {
	srv := rpc.NewServer()
	if err := srv.Register(&Peers{r: r}); err != nil {
		return errorx.Decorate(err, "serve peers")
	}
	lc := net.ListenConfig{Control: deadpeer.Control, KeepAliveConfig: deadpeer.KeepAlive()}
	ln, err := lc.Listen(ctx, "tcp", r.o.Address.String())
	if err != nil {
		return errorx.Decorate(err, "listen for peers")
	}
	stop := context.AfterFunc(ctx, func() { _ = ln.Close() })
	defer stop()
	var wg sync.WaitGroup
	defer wg.Wait()
	slots := make(chan struct{}, maxPeerConns)
	var conns peerConns
	for {
		conn, err := ln.Accept()
		switch {
		case errors.Is(err, net.ErrClosed):
			return nil
		case err != nil:
			interval.Sleep(ctx, retryPause)
			continue
		}
		conns.add(conn, maxPeerConns)
		slots <- struct{}{}
		wg.Go(func() {
			defer func() { <-slots }()
			defer conns.remove(conn)
			if conn.SetDeadline(time.Now().Add(peerTimeout)) == nil {
				srv.ServeConn(&peerConn{Conn: conn})
			}
			_ = conn.Close()
		})
	}
}
