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

// fakeLog is a stream whose replies to appends are always lost.
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

func (l *fakeLog) change(t *testing.T, version int64, id string) {
	t.Helper()
	data, err := configuration.Record{
		Type: configuration.Change, ID: id, From: version - 1, Version: version, Text: "site: " + id + "\n",
	}.Encode()
	if err != nil {
		t.Fatal(err)
	}
	_, _ = l.Append(t.Context(), configuration.Stream, data)
}

func (l *fakeLog) set(f func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	f()
}

// process is a follower with its controller.
type process struct {
	mu     sync.Mutex
	config *configuration.Controller
	// live holds the versions that came into force.
	live []int64
}

func start(t *testing.T, l laburnumring.Log) *process {
	p := &process{config: configuration.New(configuration.Options{
		Board: board.New(), Random: func() float64 { return 0 },
	})}
	f := follower.New(follower.Options{
		Log: l, Logger: event.NewLogger(io.Discard, "", "test"), Clock: wallclock.New(), Mu: &p.mu, Config: p.config,
		Live:   func() { p.live = append(p.live, p.config.State().Version) },
		Random: func() float64 { return 0 },
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

// await waits until the process has a version in force.
func (p *process) await(version int64) {
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

// TestFollower follows a log through an outage, lost replies and retention.
func TestFollower(t *testing.T) {
	defer goleak.VerifyNone(t)
	l := &fakeLog{}
	t.Run("processes", func(t *testing.T) {
		warm := start(t, l)
		l.change(t, 1, "first")
		warm.await(1)
		l.set(func() { l.down = true })
		l.change(t, 2, "winner")
		l.change(t, 2, "loser")
		l.set(func() { l.down = false })
		warm.await(2)
		// The log keeps the loser only. The warm process appends a snapshot, from which a new one starts.
		l.set(func() { l.first = 2 })
		start(t, l).await(2)
		l.change(t, 3, "third")
		start(t, l).await(3)
		warm.await(3)
		warm.mu.Lock()
		defer warm.mu.Unlock()
		if s := warm.config.State(); s.ID != "third" || len(warm.live) != 3 {
			t.Errorf("publication %s, versions %v", s.ID, warm.live)
		}
	})
}
