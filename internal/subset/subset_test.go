package subset_test

import (
	"fmt"
	"slices"
	"testing"

	"github.com/laburnumring/laburnumring/internal/board"
	"github.com/laburnumring/laburnumring/internal/subset"
	"github.com/laburnumring/laburnumring/pkg/clock"
	"github.com/laburnumring/laburnumring/pkg/place"
	"github.com/laburnumring/laburnumring/pkg/server"
	"github.com/laburnumring/laburnumring/pkg/service"
	"github.com/laburnumring/laburnumring/pkg/site"
)

const degree = 16

// newBoard returns a board with n servers of one service spread over six places, all ready.
func newBoard(n int) *board.Board {
	const places = 6
	s := site.New("test")
	s.AddServices(service.New("pool", service.Options{}))
	for i := range places {
		s.AddPlaces(place.New(fmt.Sprintf("place-%d", i), fmt.Sprintf("region-%d", i/2)))
	}
	b := board.New()
	for i := range n {
		name := fmt.Sprintf("server-%d", i)
		s.AddServers(server.New(name, server.Options{Service: "pool", Place: fmt.Sprintf("place-%d", i%places)}))
		b.SetPeer(board.Peer{Server: name, Service: "pool", State: board.Ready})
	}
	b.SetSite(s, 1)
	return b
}

func setState(b *board.Board, name string, s board.PeerState) {
	p, _ := b.Peer(name)
	p.State = s
	b.SetPeer(p)
}

// TestRoutersPerAgentStayBounded checks, at the largest size that the router fleet is designed for, that each agent
// has a router, and that none has more than three times the mean.
func TestRoutersPerAgentStayBounded(t *testing.T) {
	const routers, servers, places = 380, 127, 6
	b := newBoard(servers)
	count := make(map[string]int)
	for i := range routers {
		c := subset.New(subset.Options{
			Board: b, Router: fmt.Sprintf("router-%d", i), Place: fmt.Sprintf("place-%d", i%places), Degree: degree,
		})
		for _, name := range c.Servers("pool") {
			count[name]++
		}
	}
	mean := routers * degree / servers
	for i := range servers {
		n := count[fmt.Sprintf("server-%d", i)]
		if n == 0 || n > 3*mean {
			t.Errorf("server-%d has %d routers, the mean is %d", i, n, mean)
		}
	}
}

func TestSubsetWidensUnderPressureAndNarrowsAgain(t *testing.T) {
	c := subset.New(subset.Options{Board: newBoard(127), Router: "router-1", Place: "place-0", Degree: degree})
	now := clock.Millis(0)
	for range 10 {
		now += 100
		c.RecordOldestWait(now, "pool", 500)
	}
	if n := len(c.Servers("pool")); n != 127 {
		t.Fatalf("while requests wait the subset has %d servers, want all 127", n)
	}
	for range 60 * 10 * 5 {
		now += 100
		c.RecordOldestWait(now, "pool", 0)
	}
	if n := len(c.Servers("pool")); n != degree {
		t.Fatalf("after no request waited the subset has %d servers, want %d", n, degree)
	}
}

func TestSilentAgentsAreReplaced(t *testing.T) {
	b := newBoard(127)
	c := subset.New(subset.Options{Board: b, Router: "router-1", Place: "place-0", Degree: degree})
	first := slices.Clone(c.Servers("pool"))
	for _, name := range first[:5] {
		setState(b, name, board.Silent)
	}
	got := c.Servers("pool")
	if len(got) != degree+5 {
		t.Fatalf("with 5 silent agents the subset has %d servers, want %d", len(got), degree+5)
	}
	for i := range 127 {
		setState(b, fmt.Sprintf("server-%d", i), board.Silent)
	}
	if n := len(c.Servers("pool")); n != 2*degree {
		t.Fatalf("with all agents silent the subset has %d servers, want %d", n, 2*degree)
	}
}

func TestOwnPlaceRanksFirst(t *testing.T) {
	b := newBoard(60)
	c := subset.New(subset.Options{Board: b, Router: "router-1", Place: "place-2", Degree: degree})
	for i, name := range c.Servers("pool") {
		s, _ := b.Site().Server(name)
		want := "place-2"
		if i >= 10 {
			want = "place-3"
		}
		if s.Place() != want {
			t.Errorf("rank %d is %s in %s, want %s", i, name, s.Place(), want)
		}
	}
}
