package gossip_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/netip"
	"sync"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"go.uber.org/goleak"

	"github.com/laburnumring/laburnumring/internal/event"
	"github.com/laburnumring/laburnumring/internal/fairshare"
	"github.com/laburnumring/laburnumring/internal/gossip"
	"github.com/laburnumring/laburnumring/internal/intake"
	"github.com/laburnumring/laburnumring/internal/suspect"
	"github.com/laburnumring/laburnumring/internal/wallclock"
	"github.com/laburnumring/laburnumring/pkg/clock"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// freeAddress returns an address on loopback whose port is free for datagrams.
func freeAddress(t *testing.T) netip.AddrPort {
	t.Helper()
	probe, err := net.ListenPacket("udp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = probe.Close() }()
	return netip.MustParseAddrPort(probe.LocalAddr().String())
}

// TestRoutersFindEachOther starts three routers of which two know the first alone: soon each has heard all others, and
// what they say arrives as it was sent.
func TestRoutersFindEachOther(t *testing.T) {
	port := freeAddress(t).Port()
	ctx, cancel := context.WithCancel(t.Context())
	var wg sync.WaitGroup
	defer wg.Wait()
	defer cancel()
	sent := gossip.Message{
		Configuration: 7, RosterAge: gossip.Unread, Suspects: []suspect.Entry{{Fingerprint: 1 << 60, Kind: suspect.Suspected}},
		Work: intake.Report{
			Servers: map[string]intake.Load{"m1": {Running: 3, Queued: 4000, Memory: 90_000}},
			Teams:   map[string]fairshare.Rates{"ann": {Demand: 1234.5, Served: 7}}, Refused: []uint64{1 << 63},
		},
	}
	var mu sync.Mutex
	got := make(map[netip.Addr]gossip.Message)
	var exchanges []*gossip.Exchange
	for i, address := range []string{"127.0.0.1", "127.0.0.2", "127.0.0.3"} {
		x := gossip.New(gossip.Options{
			Address: netip.AddrPortFrom(netip.MustParseAddr(address), port), Incarnation: address,
			Seeds: []netip.Addr{netip.MustParseAddr("127.0.0.1")}, Clock: wallclock.New(),
			Logger:  event.NewLogger(io.Discard, "logfmt", "test"),
			Message: func() gossip.Message { return sent },
			Received: func(from netip.Addr, m gossip.Message) {
				mu.Lock()
				defer mu.Unlock()
				if i == 0 {
					got[from] = m
				}
			},
		})
		exchanges = append(exchanges, x)
		wg.Go(func() {
			if err := x.Run(ctx); err != nil {
				t.Error(err)
			}
		})
	}
	for end := time.Now().Add(20 * time.Second); ; time.Sleep(10 * time.Millisecond) {
		all := true
		for _, x := range exchanges {
			all = all && len(x.Peers()) == 2
		}
		if all {
			break
		}
		if time.Now().After(end) {
			t.Fatal("routers do not find each other")
		}
	}
	mu.Lock()
	defer mu.Unlock()
	m := got[netip.MustParseAddr("127.0.0.3")]
	if m.Work.Servers["m1"] != sent.Work.Servers["m1"] || m.Work.Teams["ann"] != sent.Work.Teams["ann"] ||
		m.Configuration != 7 || m.RosterAge != gossip.Unread || m.Work.Refused[0] != 1<<63 ||
		m.Suspects[0].Fingerprint != 1<<60 {
		t.Errorf("received %+v", m)
	}
}

// TestHeldUpMessage sends two messages that say that the list has just been read, the second of which is handled long after
// it was sent, as by a process without processor time: the age must count that.
func TestHeldUpMessage(t *testing.T) {
	const held = 3000
	own := freeAddress(t)
	ages := make(chan clock.Millis, 2)
	x := gossip.New(gossip.Options{
		Address: own, Incarnation: "own", Clock: wallclock.New(), Logger: event.NewLogger(io.Discard, "logfmt", "test"),
		Message:  func() gossip.Message { return gossip.Message{} },
		Received: func(_ netip.Addr, m gossip.Message) { ages <- m.RosterAge },
	})
	ctx, cancel := context.WithCancel(t.Context())
	var wg sync.WaitGroup
	defer wg.Wait()
	defer cancel()
	wg.Go(func() {
		if err := x.Run(ctx); err != nil {
			t.Error(err)
		}
	})
	conn, err := net.DialUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 2)}, net.UDPAddrFromAddrPort(own))
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	for i, sent := range []clock.Millis{held, 0} {
		data, err := cbor.Marshal(gossip.Message{Incarnation: "peer", Seq: int64(i + 1), Sent: sent, RosterAge: 5})
		if err != nil {
			t.Fatal(err)
		}
		age := clock.Millis(-1)
		for age < 0 {
			// A refusal says that the exchange does not listen yet.
			if _, err := conn.Write(data); err != nil {
				continue
			}
			select {
			case age = <-ages:
			case <-time.After(10 * time.Millisecond):
			}
		}
		if i == 1 && age < held {
			t.Errorf("the list counts as %d ms old, want at least %d", age, held)
		}
	}
}

// TestNewsAmongMany runs many routers of which one reads something each tenth of a second and tells it with its age. Each
// of the others must know it as newer than a second, by the reader's word or by that of one who heard it.
func TestNewsAmongMany(t *testing.T) {
	const (
		routers = 90
		settle  = 4 * time.Second
		watch   = 3 * time.Second
		bound   = 1 * clock.Second
	)
	port := freeAddress(t).Port()
	ctx, cancel := context.WithCancel(t.Context())
	var wg sync.WaitGroup
	defer wg.Wait()
	defer cancel()
	now := wallclock.New()
	var mu sync.Mutex
	heard, relayed := make([]clock.Millis, routers), make([]clock.Millis, routers)
	for i := range routers {
		x := gossip.New(gossip.Options{
			Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 1, byte(i + 1)}), port), Incarnation: fmt.Sprint(i),
			Seeds: []netip.Addr{netip.MustParseAddr("127.0.1.1")}, Clock: now,
			Logger: event.NewLogger(io.Discard, "logfmt", "test"),
			Message: func() gossip.Message {
				mu.Lock()
				defer mu.Unlock()
				m := gossip.Message{RosterAge: gossip.Unread, Heard: &gossip.Ages{Roster: gossip.Unread}}
				switch {
				case i == 0:
					m.RosterAge = now.Now() % 100
				case heard[i] > 0:
					m.Heard.Roster = now.Now() - heard[i]
				}
				return m
			},
			Received: func(_ netip.Addr, m gossip.Message) {
				mu.Lock()
				defer mu.Unlock()
				if m.RosterAge != gossip.Unread {
					heard[i] = max(heard[i], now.Now()-m.RosterAge)
				}
				if m.Heard.Roster != gossip.Unread {
					relayed[i] = max(relayed[i], now.Now()-m.Heard.Roster)
				}
			},
		})
		wg.Go(func() {
			if err := x.Run(ctx); err != nil {
				t.Error(err)
			}
		})
	}
	time.Sleep(settle)
	worst := clock.Millis(0)
	for end := time.Now().Add(watch); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		mu.Lock()
		for i := 1; i < routers; i++ {
			worst = max(worst, now.Now()-max(heard[i], relayed[i]))
		}
		mu.Unlock()
	}
	t.Logf("worst %d ms", worst)
	if worst > bound {
		t.Errorf("a router knew what was read %d ms ago, want at most %d", worst, bound)
	}
}
