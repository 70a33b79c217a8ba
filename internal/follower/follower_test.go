package follower_test

import (
	"context"
	"errors"
	"io"
	"sync"
	"testing"
	"time"

	"go.uber.org/goleak"

	"github.com/laburnumring/laburnumring"
	"github.com/laburnumring/laburnumring/internal/board"
	"github.com/laburnumring/laburnumring/internal/configuration"
	"github.com/laburnumring/laburnumring/internal/event"
	"github.com/laburnumring/laburnumring/internal/follower"
	"github.com/laburnumring/laburnumring/internal/wallclock"
	"github.com/laburnumring/laburnumring/pkg/clock"
)

// fakeLog is a stream whose appends succeed but whose replies to them are always lost.
type fakeLog struct {
	mu      sync.Mutex
	first   int64
	records [][]byte
	down    bool
}

var errLost = errors.New("reply lost")

func (l *fakeLog) Append(_ context.Context, _ string, data []byte) (int64, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.records = append(l.records, data)
	return 0, errLost
}

func (l *fakeLog) Read(_ context.Context, _ string, from int64, _ clock.Millis) (laburnumring.Page, error) {
	time.Sleep(time.Millisecond)
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.down {
		return laburnumring.Page{}, errLost
	}
	p := laburnumring.Page{First: l.first, Next: int64(len(l.records))}
	for o := max(from, l.first); o < p.Next; o++ {
		p.Records = append(p.Records, laburnumring.Record{Offset: o, Data: l.records[o]})
	}
	return p, nil
}

// appendChange appends a change to the given version.
func (l *fakeLog) appendChange(t *testing.T, version int64, id string) {
	t.Helper()
	data, err := configuration.Record{
		Type: configuration.Change, ID: id, From: version - 1, Version: version, Text: "site: " + id + "\n",
	}.Encode()
	if err != nil {
		t.Fatal(err)
	}
	_, _ = l.Append(t.Context(), configuration.Stream, data)
}

// locked calls f with mu held.
func (l *fakeLog) locked(f func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	f()
}

// process is a follower with its controller.
type process struct {
	mu     sync.Mutex
	config *configuration.Controller
	// versions holds the versions that came into force.
	versions []int64
}

// startProcess starts a follower that runs until the end of the test.
func startProcess(t *testing.T, l laburnumring.Log) *process {
	p := &process{config: configuration.New(configuration.Options{
		Board: board.New(), Random: func() float64 { return 0 },
	})}
	f := follower.New(follower.Options{
		Log: l, Logger: event.NewLogger(io.Discard, "", "test"), Clock: wallclock.New(), Mu: &p.mu, Config: p.config,
		OnChange: func() { p.versions = append(p.versions, p.config.State().Version) },
		Random:   func() float64 { return 0 },
	})
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	wg.Go(func() { f.Run(ctx) })
	t.Cleanup(func() {
		cancel()
		wg.Wait()
	})
	return p
}

// awaitVersion waits until the version is in force in the process.
func (p *process) awaitVersion(version int64) {
	for {
		p.mu.Lock()
		v := p.config.State().Version
		p.mu.Unlock()
		if v == version {
			return
		}
		time.Sleep(time.Millisecond)
	}
}

// TestFollowThroughOutageAndRetention reads a log through an outage, lost replies and the removal of old records. It
// guards against a new process that takes the losing one of two changes for the winner after the winner's record is
// gone.
func TestFollowThroughOutageAndRetention(t *testing.T) {
	defer goleak.VerifyNone(t)
	l := &fakeLog{}
	t.Run("processes", func(t *testing.T) {
		warm := startProcess(t, l)
		l.appendChange(t, 1, "first")
		warm.awaitVersion(1)
		l.locked(func() { l.down = true })
		l.appendChange(t, 2, "winner")
		l.appendChange(t, 2, "loser")
		l.locked(func() { l.down = false })
		warm.awaitVersion(2)
		// The log retains only the losing record. The running process appends a snapshot, from which a new one
		// starts.
		l.locked(func() { l.first = 2 })
		startProcess(t, l).awaitVersion(2)
		l.appendChange(t, 3, "third")
		startProcess(t, l).awaitVersion(3)
		warm.awaitVersion(3)
		warm.mu.Lock()
		defer warm.mu.Unlock()
		if s := warm.config.State(); s.ID != "third" || len(warm.versions) != 3 {
			t.Errorf("publication %s in force after versions %v, want third after three versions", s.ID, warm.versions)
		}
	})
}
