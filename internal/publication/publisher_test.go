package publication_test

import (
	"errors"
	"fmt"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/laburnumring/laburnumring/internal/platform"
	"github.com/laburnumring/laburnumring/internal/publication"
	"github.com/laburnumring/laburnumring/internal/standin/control"
	"github.com/laburnumring/laburnumring/internal/standin/platformlog"
	"github.com/laburnumring/laburnumring/internal/traffic"
	"github.com/laburnumring/laburnumring/internal/wallclock"
)

// TestRacingPublishers lets several publishers race for each of several versions while the log loses replies. Exactly
// one must win each version, and all others must get a LostRaceError.
func TestRacingPublishers(t *testing.T) {
	const publishers, versions, lost = 8, 5, 4
	faults := &control.Control{}
	s := httptest.NewServer(platformlog.New(platformlog.Options{AppendsPerSecond: 10_000, Control: faults}).Handler())
	defer s.Close()
	p := publication.NewPublisher(
		platform.NewLog(strings.TrimPrefix(s.URL, "http://"), &traffic.Counter{}), wallclock.New(), time.Millisecond)
	for from := range int64(versions) {
		faults.Set(control.Faults{LoseReplies: lost})
		results := make([]error, publishers)
		var wg sync.WaitGroup
		for i := range publishers {
			wg.Go(func() {
				id := fmt.Sprintf("v%d-p%d", from, i)
				_, results[i] = p.Publish(t.Context(), publication.Options{ID: id, From: from, Text: text(id)})
			})
		}
		wg.Wait()
		winner := checkRace(t, from, results)
		state, err := p.State(t.Context())
		if err != nil || state.Version != from+1 || state.ID != fmt.Sprintf("v%d-p%d", from, winner) {
			t.Fatalf("state is version %d of publication %s after publisher %d won, error %v", state.Version, state.ID, winner, err)
		}
	}
}

// checkRace returns the one publisher that won and fails the test unless all others lost.
func checkRace(t *testing.T, from int64, results []error) int {
	t.Helper()
	winner := -1
	for i, err := range results {
		var lost *publication.LostRaceError
		switch {
		case err == nil && winner < 0:
			winner = i
		case err == nil:
			t.Fatalf("publishers %d and %d both won", winner, i)
		case !errors.As(err, &lost) || lost.From != from || lost.Current <= from:
			t.Fatalf("publisher %d: %v", i, err)
		}
	}
	if winner < 0 {
		t.Fatal("no publisher won")
	}
	return winner
}
