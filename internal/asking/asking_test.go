package asking_test

import (
	"fmt"
	"testing"

	"github.com/laburnumring/laburnumring/internal/asking"
	"github.com/laburnumring/laburnumring/pkg/clock"
)

func routerNames(n int) []string {
	out := make([]string, n)
	for i := range out {
		out[i] = fmt.Sprintf("router-%03d", i)
	}
	return out
}

// TestRoundAsksAll checks that a round asks every router within a limited time and at a limited rate.
func TestRoundAsksAll(t *testing.T) {
	const (
		n        = 380
		batch    = 8
		maxDelay = 100
	)
	turn := asking.New(asking.Options{})
	all := routerNames(n)
	asked := make(map[string]int)
	total := 0
	duration := clock.Millis((n/batch + 1) * maxDelay)
	for now := clock.Millis(1); now <= duration; now++ {
		for _, r := range turn.Next(now, all) {
			asked[r]++
			total++
		}
	}
	for _, r := range all {
		if asked[r] < 1 || asked[r] > 2 {
			t.Fatalf("%s was asked %d times in %d ms, want 1 or 2", r, asked[r], duration)
		}
	}
	if limit := int(duration)/maxDelay*batch + 5*batch; total > limit {
		t.Fatalf("asked routers %d times in %d ms, want at most %d", total, duration, limit)
	}
}

// TestBeginResetsBackoff checks that a new round starts at once.
func TestBeginResetsBackoff(t *testing.T) {
	turn := asking.New(asking.Options{})
	all := routerNames(4)
	for now := clock.Millis(0); now < 1000; now++ {
		turn.Next(now, all)
	}
	if got := turn.Next(1001, all); got != nil {
		t.Fatalf("asked %v after the round", got)
	}
	turn.StartRound()
	if got := turn.Next(1002, all); len(got) != len(all) {
		t.Fatalf("asked %v in a new round, want all", got)
	}
}

// TestRouterLeavesDuringRound checks that a round goes on after the router that was asked last has gone.
func TestRouterLeavesDuringRound(t *testing.T) {
	turn := asking.New(asking.Options{Batch: 2})
	all := routerNames(6)
	turn.Next(0, all)
	got := turn.Next(10, append(all[:1:1], all[2:]...))
	if fmt.Sprint(got) != "[router-002 router-003]" {
		t.Fatalf("asked %v, want router-002 and router-003", got)
	}
}

// TestRoundEnds checks that an idle agent asks no router again once a round has asked every router.
func TestRoundEnds(t *testing.T) {
	turn := asking.New(asking.Options{})
	total := 0
	for now := clock.Millis(0); now < 60_000; now++ {
		total += len(turn.Next(now, routerNames(20)))
	}
	if total != 20 {
		t.Fatalf("asked 20 routers %d times in a minute, want once each", total)
	}
}
