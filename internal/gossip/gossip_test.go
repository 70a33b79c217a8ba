package gossip_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/netip"
	"reflect"
	"sync"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"go.uber.org/goleak"

	"github.com/laburnumring/laburnumring"
	"github.com/laburnumring/laburnumring/internal/evacuation"
	"github.com/laburnumring/laburnumring/internal/event"
	"github.com/laburnumring/laburnumring/internal/fairshare"
	"github.com/laburnumring/laburnumring/internal/gossip"
	"github.com/laburnumring/laburnumring/internal/intake"
	"github.com/laburnumring/laburnumring/internal/quarantine"
	"github.com/laburnumring/laburnumring/internal/ratelimit"
	"github.com/laburnumring/laburnumring/internal/wallclock"
	"github.com/laburnumring/laburnumring/pkg/clock"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// freeUDPAddress returns a loopback address with a free UDP port.
func freeUDPAddress(t *testing.T) netip.AddrPort {
	t.Helper()
	probe, err := net.ListenPacket("udp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = probe.Close() }()
	return netip.MustParseAddrPort(probe.LocalAddr().String())
}

// TestRoutersFindEachOther starts three routers of which two know only the first. It guards against routers that do
// not learn of each other through a common peer, and against fields lost in the encoding of a message.
func TestRoutersFindEachOther(t *testing.T) {
	port := freeUDPAddress(t).Port()
	ctx, cancel := context.WithCancel(t.Context())
	var wg sync.WaitGroup
	defer wg.Wait()
	defer cancel()
	// A key with all bits set is not valid as a string.
	const server intake.ServerKey = 1<<32 - 1
	sent := gossip.Message{
		Configuration: 7, RosterAge: gossip.UnknownAge,
		Work: intake.Report{
			Servers: map[intake.ServerKey]intake.Load{server: {Running: 3, Queued: 4000, Memory: 90_000}},
			Teams:   map[string]fairshare.Rates{"ann": {Demand: 1234.5, Served: 7}}, Refused: []uint32{1 << 31},
			Limits: []ratelimit.Entry{{Server: 1 << 31, PerSecond: 2.8, Named: 10, Cleared: -1}},
			Demand: map[string]float64{"llm": 3.5},
		},
		Quarantine: quarantine.Report{
			Casualties: []quarantine.Casualty{{Server: 1 << 31, Request: 1 << 60, Late: true, Gone: true, Sent: 30, Broken: 20, Refused: 10, Parts: []uint64{1 << 63}}},
			Answers:    []quarantine.Answer{{Key: 1 << 63, Age: 10}},
		},
		Evacuated: &evacuation.Report{
			Revision: 1 << 42, Era: 4, Places: []string{"a", "b"}, Held: []evacuation.Hold{{Place: "c", Left: 4000}},
			Removals: []laburnumring.EvacuationRemoval{{Place: "d", Revision: 1 << 41}},
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
			t.Fatal("not every router received messages from both others within 20 s")
		}
	}
	mu.Lock()
	defer mu.Unlock()
	m := got[netip.MustParseAddr("127.0.0.3")]
	if m.Work.Servers[server] != sent.Work.Servers[server] || m.Work.Teams["ann"] != sent.Work.Teams["ann"] ||
		m.Configuration != 7 || m.RosterAge != gossip.UnknownAge || m.Work.Refused[0] != 1<<31 {
		t.Errorf("received %+v", m)
	}
	if e := m.Work.Limits[0]; e.Server != 1<<31 || e.PerSecond != 2.8 || e.Cleared != -1 || m.Work.Demand["llm"] != 3.5 {
		t.Errorf("received limit %+v and demand %v", e, m.Work.Demand)
	}
	// The remaining time shrinks by the time for which the message was delayed.
	if e := m.Evacuated; e == nil || len(e.Held) != 1 || e.Held[0].Left > 4000 || e.Held[0].Left < 1000 {
		t.Errorf("received evacuations %+v", e)
	} else if e.Held[0].Left = 4000; !reflect.DeepEqual(e, sent.Evacuated) {
		t.Errorf("received evacuations %+v", e)
	}
	casualty := m.Quarantine.Casualties[0]
	// The ages grow by the time for which the message was delayed.
	if casualty.Server != 1<<31 || casualty.Request != 1<<60 || !casualty.Late || !casualty.Gone || casualty.Sent-casualty.Broken != 10 || casualty.Refused < 10 ||
		casualty.Parts[0] != 1<<63 || m.Quarantine.Answers[0].Key != 1<<63 {
		t.Errorf("received evidence %+v", m.Quarantine)
	}
}

// TestDelayedMessageAges sends two messages that report a newly read list. The second is handled long after it was
// sent, as happens in a process without processor time. The age must include that delay.
func TestDelayedMessageAges(t *testing.T) {
	const delay = 3000
	own := freeUDPAddress(t)
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
	for i, sent := range []clock.Millis{delay, 0} {
		data, err := cbor.Marshal(gossip.Message{Incarnation: "peer", Seq: int64(i + 1), Sent: sent, RosterAge: 5})
		if err != nil {
			t.Fatal(err)
		}
		age := clock.Millis(-1)
		for age < 0 {
			// The write is refused as long as the exchange is not listening yet.
			if _, err := conn.Write(data); err != nil {
				continue
			}
			select {
			case age = <-ages:
			case <-time.After(10 * time.Millisecond):
			}
		}
		if i == 1 && age < delay {
			t.Errorf("the reported list age is %d ms, want at least %d", age, delay)
		}
	}
}

// TestUpdatesReachManyRouters runs many routers of which one reads a value every 100 milliseconds and reports its
// age. Each of the others must know a value younger than a second, either from the reader itself or relayed by
// another router.
func TestUpdatesReachManyRouters(t *testing.T) {
	const (
		routers = 90
		settle  = 4 * time.Second
		observe = 3 * time.Second
		maxAge  = 1 * clock.Second
	)
	port := freeUDPAddress(t).Port()
	ctx, cancel := context.WithCancel(t.Context())
	var wg sync.WaitGroup
	defer wg.Wait()
	defer cancel()
	now := wallclock.New()
	var mu sync.Mutex
	received, relayed := make([]clock.Millis, routers), make([]clock.Millis, routers)
	for i := range routers {
		x := gossip.New(gossip.Options{
			Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 1, byte(i + 1)}), port), Incarnation: fmt.Sprint(i),
			Seeds: []netip.Addr{netip.MustParseAddr("127.0.1.1")}, Clock: now,
			Logger: event.NewLogger(io.Discard, "logfmt", "test"),
			Message: func() gossip.Message {
				mu.Lock()
				defer mu.Unlock()
				m := gossip.Message{RosterAge: gossip.UnknownAge, Relayed: &gossip.Ages{Roster: gossip.UnknownAge}}
				switch {
				case i == 0:
					m.RosterAge = now.Now() % 100
				case received[i] > 0:
					m.Relayed.Roster = now.Now() - received[i]
				}
				return m
			},
			Received: func(_ netip.Addr, m gossip.Message) {
				mu.Lock()
				defer mu.Unlock()
				if m.RosterAge != gossip.UnknownAge {
					received[i] = max(received[i], now.Now()-m.RosterAge)
				}
				if m.Relayed.Roster != gossip.UnknownAge {
					relayed[i] = max(relayed[i], now.Now()-m.Relayed.Roster)
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
	for end := time.Now().Add(observe); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		mu.Lock()
		for i := 1; i < routers; i++ {
			worst = max(worst, now.Now()-max(received[i], relayed[i]))
		}
		mu.Unlock()
	}
	t.Logf("maximum age %d ms", worst)
	if worst > maxAge {
		t.Errorf("the newest value known to a router was %d ms old, want at most %d", worst, maxAge)
	}
}

// TestMessageWithoutEvacuations guards against a field in the messages of fleets in which no place was ever evacuated.
func TestMessageWithoutEvacuations(t *testing.T) {
	t.Parallel()
	data, err := cbor.Marshal(gossip.Message{Evacuated: evacuation.New().Report(1)})
	if err != nil {
		t.Fatal(err)
	}
	var fields map[int]cbor.RawMessage
	if err := cbor.Unmarshal(data, &fields); err != nil {
		t.Fatal(err)
	}
	if _, ok := fields[18]; ok {
		t.Errorf("the message has a field for evacuated places: %x", fields[18])
	}
}
