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

	"github.com/laburnumring/laburnumring/internal/event"
	"github.com/laburnumring/laburnumring/internal/gossip"
	"github.com/laburnumring/laburnumring/internal/rotation"
	"github.com/laburnumring/laburnumring/internal/wallclock"
)

// site is a number of exchanges in several data centres.
type site struct {
	port      uint16
	exchanges []*gossip.Exchange
	cancels   []context.CancelFunc
	wg        sync.WaitGroup

	mu sync.Mutex
	// receivedAt is when router i last received a message of router j, by [2]int{i, j}.
	receivedAt map[[2]int]time.Time
}

func address(i int) netip.Addr { return netip.AddrFrom4([4]byte{127, 0, 2, byte(i + 1)}) }

// newSite starts routers that are spread over the places in turn. legacy routers do not forward messages.
func newSite(t *testing.T, routers int, places []string, legacy func(i int) bool) *site {
	t.Helper()
	s := &site{port: freeUDPAddress(t).Port(), receivedAt: make(map[[2]int]time.Time)}
	for i := range routers {
		place := places[i%len(places)]
		o := gossip.Options{
			Address: netip.AddrPortFrom(address(i), s.port), Incarnation: fmt.Sprint(i), Seeds: []netip.Addr{address(0)},
			Clock: wallclock.New(), Logger: event.NewLogger(io.Discard, "logfmt", "test"), Place: place,
			Message: func() gossip.Message { return gossip.Message{State: rotation.State{Place: place}} },
			Received: func(from netip.Addr, _ gossip.Message) {
				s.mu.Lock()
				defer s.mu.Unlock()
				s.receivedAt[[2]int{i, int(from.As4()[3]) - 1}] = time.Now()
			},
		}
		if legacy(i) {
			o.Place = ""
		}
		ctx, cancel := context.WithCancel(t.Context())
		x := gossip.New(o)
		s.exchanges, s.cancels = append(s.exchanges, x), append(s.cancels, cancel)
		s.wg.Go(func() {
			if err := x.Run(ctx); err != nil {
				t.Error(err)
			}
		})
	}
	t.Cleanup(func() {
		for _, cancel := range s.cancels {
			cancel()
		}
		s.wg.Wait()
	})
	return s
}

// awaitAll waits until each of the given routers has received a message of each other after the given time.
func (s *site) awaitAll(t *testing.T, live []int, after time.Time) {
	t.Helper()
	for end := time.Now().Add(20 * time.Second); ; time.Sleep(10 * time.Millisecond) {
		missing := 0
		s.mu.Lock()
		for _, i := range live {
			for _, j := range live {
				if i != j && !s.receivedAt[[2]int{i, j}].After(after) {
					missing++
				}
			}
		}
		s.mu.Unlock()
		if missing == 0 {
			return
		}
		if time.Now().After(end) {
			t.Fatalf("%d pairs of routers have not exchanged messages within 20 s", missing)
		}
	}
}

func all(n int) []int {
	out := make([]int, n)
	for i := range out {
		out[i] = i
	}
	return out
}

// TestMessagesCrossBetweenPlacesOnce guards against messages that cross the link between two data centres once for each
// router there: that was most of the traffic between data centres.
func TestMessagesCrossBetweenPlacesOnce(t *testing.T) {
	const routers, places = 12, 3
	s := newSite(t, routers, []string{"a", "b", "c"}, func(int) bool { return false })
	s.awaitAll(t, all(routers), time.Time{})
	before := make([]gossip.Stats, routers)
	for i, x := range s.exchanges {
		before[i] = x.Stats()
	}
	time.Sleep(2 * time.Second)
	s.awaitAll(t, all(routers), time.Now())
	sent, crossed := int64(0), int64(0)
	for i, x := range s.exchanges {
		st := x.Stats()
		sent, crossed = sent+st.SentBytes-before[i].SentBytes, crossed+st.CrossedBytes-before[i].CrossedBytes
	}
	// Sent directly, 8 of 11 messages would cross. With relays 2 of 11 do, each with three addresses more.
	if crossed*2 > sent {
		t.Errorf("%d of %d bytes were sent to other data centres, want less than half", crossed, sent)
	}
}

// TestRelaysThatFailOrDoNotForward guards against routers that hear nothing of others because the routers through which
// messages go have ended, or run a version that does not forward messages.
func TestRelaysThatFailOrDoNotForward(t *testing.T) {
	const routers = 9
	s := newSite(t, routers, []string{"a", "b"}, func(i int) bool { return i == 3 })
	s.awaitAll(t, all(routers), time.Time{})
	var live []int
	for i := range routers {
		if i == 1 || i == 5 {
			s.cancels[i]()
			continue
		}
		live = append(live, i)
	}
	s.awaitAll(t, live, time.Now())
}

// TestInvalidEnvelopes guards against a process that ends, or forwards messages to addresses that are no routers of its
// data centre, because of a datagram that no router sends.
func TestInvalidEnvelopes(t *testing.T) {
	s := newSite(t, 2, []string{"a", "a"}, func(int) bool { return false })
	s.awaitAll(t, all(2), time.Time{})
	conn, err := net.DialUDP("udp4", nil, net.UDPAddrFromAddrPort(netip.AddrPortFrom(address(0), s.port)))
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	outside, err := netip.MustParseAddr("127.0.2.99").MarshalBinary()
	if err != nil {
		t.Fatal(err)
	}
	wrapped, err := cbor.Marshal([]any{[]byte{}, [][]byte{outside}, []byte("no message")})
	if err != nil {
		t.Fatal(err)
	}
	for _, data := range [][]byte{{0x80}, {0x83}, {0x9f, 0xff}, {0x83, 0x41, 1, 0x80, 0x40}, wrapped} {
		if _, err := conn.Write(data); err != nil {
			t.Fatal(err)
		}
	}
	s.awaitAll(t, all(2), time.Now())
	if n := s.exchanges[0].Stats().Forwarded; n != 0 {
		t.Errorf("%d datagrams were forwarded, want none", n)
	}
}
