package asking_test

import (
	"fmt"
	"testing"

	"github.com/laburnumring/laburnumring/internal/asking"
	"github.com/laburnumring/laburnumring/pkg/clock"
)

func routers(n int) []string {
	out := make([]string, n)
	for i := range out {
		out[i] = fmt.Sprintf("router-%03d", i)
	}
	return out
}

// TestAllAreAskedWithinABound checks that every router is asked once in a round, that a round takes a bounded
// time, and that the rate of questions is bounded.
func TestAllAreAskedWithinABound(t *testing.T) {
	const (
		n     = 380
		batch = 8
		slow  = 100
	)
	turn := asking.New(asking.Options{})
	all := routers(n)
	asked := make(map[string]int)
	total := 0
	bound := clock.Millis((n/batch + 1) * slow)
	for now := clock.Millis(1); now <= bound; now++ {
		for _, r := range turn.Next(now, all) {
			asked[r]++
			total++
		}
	}
	for _, r := range all {
		if asked[r] < 1 || asked[r] > 2 {
			t.Fatalf("%s was asked %d times in %d ms", r, asked[r], bound)
		}
	}
	if most := int(bound)/slow*batch + 5*batch; total > most {
		t.Fatalf("%d questions in %d ms, at most %d allowed", total, bound, most)
	}
}

// TestBeginEndsTheBackoff checks that a new round is quick.
func TestBeginEndsTheBackoff(t *testing.T) {
	turn := asking.New(asking.Options{})
	all := routers(4)
	for now := clock.Millis(0); now < 1000; now++ {
		turn.Next(now, all)
	}
	if got := turn.Next(1001, all); got != nil {
		t.Fatalf("asked %v during the backoff", got)
	}
	turn.Begin()
	if got := turn.Next(1002, all); len(got) != len(all) {
		t.Fatalf("asked %v in a new round", got)
	}
}

// TestRoutersComeAndGo checks that a router that left does not end the round.
func TestRoutersComeAndGo(t *testing.T) {
	turn := asking.New(asking.Options{Batch: 2})
	all := routers(6)
	turn.Next(0, all)
	got := turn.Next(10, append(all[:1:1], all[2:]...))
	if fmt.Sprint(got) != "[router-002 router-003]" {
		t.Fatalf("asked %v", got)
	}
}

// TestARoundEnds checks that idle agents are quiet once every router was asked.
func TestARoundEnds(t *testing.T) {
	turn := asking.New(asking.Options{})
	total := 0
	for now := clock.Millis(0); now < 60_000; now++ {
		total += len(turn.Next(now, routers(20)))
	}
	if total != 20 {
		t.Fatalf("%d questions to 20 routers in a minute", total)
	}
}
