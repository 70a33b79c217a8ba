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
	"github.com/laburnumring/laburnumring/internal/suspect"
	"github.com/laburnumring/laburnumring/pkg/clock"
)

// message returns what the peers are told.
func (r *Router) message() gossip.Message {
	now := r.o.Clock.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	var entries []suspect.Entry
	entries, r.told = r.suspects.Updates(now, newsLife, r.told, maxOldEntries)
	return gossip.Message{
		Configuration: r.text.Version, Roster: r.roster.Revision(),
		ConfigurationAge: orUnread(r.configurationReads.Age(now)), RosterAge: orUnread(r.listReads.Age(now)),
		Heard: &gossip.Ages{
			Configuration: orUnread(r.configurationReads.HeardAge(now)), Roster: orUnread(r.listReads.HeardAge(now)),
		},
		Work: r.intake.Report(now), Suspects: entries, State: r.state(now),
	}
}

// received takes what a peer tells, and asks it for what it has newer.
func (r *Router) received(from netip.Addr, m gossip.Message) {
	now := r.o.Clock.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.intake.Merge(now, from.String(), m.Work)
	r.rotation.Merge(now, from.String(), m.State)
	for _, e := range m.Suspects {
		r.suspects.Merge(now, e)
	}
	rank := r.rank()
	r.configurationReads.Rank(rank)
	r.listReads.Rank(rank)
	if m.Configuration == r.text.Version {
		confirm(r.configurationReads, now, m.ConfigurationAge, m.Heard.Configuration)
	}
	listRead := false
	for _, age := range []clock.Millis{m.RosterAge, m.Heard.Roster} {
		if age != gossip.Unread {
			r.roster.Served(now - age)
			listRead = listRead || age <= maxListAge
		}
	}
	if listRead && m.Roster == r.roster.Revision() {
		confirm(r.listReads, now, m.RosterAge, m.Heard.Roster)
		r.tellListNews()
	}
	newer := m.Configuration > r.text.Version || listRead && m.Roster > r.roster.Revision()
	if newer && !r.asking {
		r.asking = true
		r.background.Go(func() { r.ask(from) })
	}
}

// confirm takes a peer's ages of what it and this router hold.
func confirm(s *readshare.Share, now, age, heard clock.Millis) {
	if age != gossip.Unread {
		s.Confirmed(now, age)
	}
	if heard != gossip.Unread {
		s.Relayed(now, heard)
	}
}

const (
	// newsLife is how long a change of a suspected request is told in each message; some are lost.
	newsLife = 1 * clock.Second
	// maxOldEntries is how many older entries a message tells beside.
	maxOldEntries = 4
)

// orUnread returns an age, or Unread without one.
func orUnread(age clock.Millis, ok bool) clock.Millis {
	if ok {
		return age
	}
	return gossip.Unread
}

// rank returns how many of the routers that are heard are before this one. The order is by hash, so that the first few
// stand in several places.
func (r *Router) rank() int {
	own := xxhash.Sum64String(r.o.Address.Addr().String())
	n := 0
	for _, a := range r.gossip.Peers() {
		if xxhash.Sum64String(a.String()) < own {
			n++
		}
	}
	return n
}

// Known is what a router holds, as it asks a peer for newer state.
type Known struct {
	Configuration int64
	Roster        int64
}

// State is what a peer has newer; a part is empty where it has not.
type State struct {
	Configuration laburnumring.ConfigurationText
	Servers       laburnumring.ServerList
	// ServersAge is how long ago the peer itself found the list to be the platform's newest, ServersHeard the same for
	// routers from which it heard that; gossip.Unread without.
	ServersAge   clock.Millis
	ServersHeard clock.Millis
}

// Peers is the service that routers offer each other.
type Peers struct {
	r *Router
}

// Newer returns what this router holds that is newer than what the caller knows.
func (p *Peers) Newer(k Known, s *State) error {
	p.r.mu.Lock()
	defer p.r.mu.Unlock()
	if p.r.text.Version > k.Configuration {
		s.Configuration = p.r.text
	}
	if p.r.roster.Revision() > k.Roster {
		s.Servers = p.r.roster.List()
		now := p.r.o.Clock.Now()
		s.ServersAge, s.ServersHeard = orUnread(p.r.listReads.Age(now)), orUnread(p.r.listReads.HeardAge(now))
	}
	return nil
}

const (
	// peerTimeout bounds one exchange with a peer.
	peerTimeout = 1 * time.Second
	// maxPeerConns bounds the peers that are answered at once.
	maxPeerConns = 64
)

// ask takes what a peer has newer.
func (r *Router) ask(from netip.Addr) {
	defer func() {
		r.mu.Lock()
		r.asking = false
		r.mu.Unlock()
	}()
	r.mu.Lock()
	k := Known{Configuration: r.text.Version, Roster: r.roster.Revision()}
	r.mu.Unlock()
	began := r.o.Clock.Now()
	s, err := askPeer(netip.AddrPortFrom(from, r.o.Address.Port()), k)
	if err != nil {
		// The next message of any peer makes another try.
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
		if age != gossip.Unread {
			at = max(at, began-age)
		}
	}
	if r.roster.Take(r.o.Clock.Now(), s.Servers, at) {
		r.serversChanged(from.String())
	}
	confirm(r.listReads, began, s.ServersAge, s.ServersHeard)
	r.tellListNews()
}

func askPeer(address netip.AddrPort, k Known) (State, error) {
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

// servePeers answers peers until ctx ends.
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
	room := make(chan struct{}, maxPeerConns)
	for {
		conn, err := ln.Accept()
		switch {
		case errors.Is(err, net.ErrClosed):
			return nil
		case err != nil:
			interval.Sleep(ctx, retryPause)
			continue
		}
		room <- struct{}{}
		wg.Go(func() {
			defer func() { <-room }()
			if conn.SetDeadline(time.Now().Add(peerTimeout)) == nil {
				srv.ServeConn(conn)
			}
			_ = conn.Close()
		})
	}
}
