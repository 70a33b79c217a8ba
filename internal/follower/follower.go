// Package follower keeps a process's configuration up to date with the platform's log and with peers.
package follower

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/laburnumring/laburnumring"
	"github.com/laburnumring/laburnumring/internal/configuration"
	"github.com/laburnumring/laburnumring/internal/event"
	"github.com/laburnumring/laburnumring/internal/interval"
	"github.com/laburnumring/laburnumring/pkg/clock"
	"github.com/laburnumring/laburnumring/pkg/site"
)

// Options are what a Follower is built from.
type Options struct {
	// Log is the platform's log.
	Log laburnumring.Log
	// Logger takes events.
	Logger *event.Logger
	// Clock tells the time.
	Clock laburnumring.Clock
	// Mu guards Config.
	Mu sync.Locker
	// Config is the process's configuration controller.
	Config *configuration.Controller
	// Live is called, with Mu held, when a new configuration is in force.
	Live func()
	// Random returns numbers in [0, 1); it is safe for concurrent use.
	Random func() float64
}

const (
	// readWait is the longest that one read waits for a record.
	readWait = 1 * clock.Second
	// minRetry and maxRetry bound the pause after a failed read.
	minRetry = 500 * time.Millisecond
	maxRetry = 4 * time.Second
	// readsPerSecond bounds the idle reads of all processes of a site together.
	readsPerSecond = 200
	// processesPerServer is the most processes that a site has for each of its backend servers.
	processesPerServer = 2
	// appendTimeout bounds the append of a snapshot.
	appendTimeout = 5 * time.Second
)

// Follower reads the configuration stream into a controller.
type Follower struct {
	o Options
	// begun is set once the reader knows where to begin.
	begun bool
	// unreachable is set after a failed read.
	unreachable bool
	// lost is set while the log does not tell the state.
	lost bool
	// retry is the pause after the next failed read.
	retry time.Duration
}

// New returns a follower that does nothing until Run.
func New(o Options) *Follower {
	return &Follower{o: o, retry: minRetry}
}

// Run follows the log until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	for ctx.Err() == nil {
		err := f.read(ctx)
		if ctx.Err() != nil {
			return
		}
		f.note(err)
		if err != nil {
			interval.Sleep(ctx, f.jitter(f.retry))
			f.retry = min(2*f.retry, maxRetry)
			continue
		}
		f.retry = minRetry
		f.snapshot(ctx)
		interval.Sleep(ctx, f.jitter(f.pause()))
	}
}

// Adopt takes a state that a peer holds. Its errors are those of the controller's Adopt.
func (f *Follower) Adopt(s configuration.State, source string) error {
	if err := s.Parse(); err != nil {
		f.o.Logger.Log(event.ConfigurationBad, "source", source, "error", err)
		return err
	}
	f.o.Mu.Lock()
	defer f.o.Mu.Unlock()
	live, err := f.o.Config.Adopt(s)
	if err != nil {
		f.reject(err)
		return err
	}
	if live {
		f.live(source)
	}
	return nil
}

// read reads one page and takes it.
func (f *Follower) read(ctx context.Context) error {
	if err := f.begin(ctx); err != nil {
		return err
	}
	f.o.Mu.Lock()
	from := f.o.Config.Next()
	f.o.Mu.Unlock()
	page, err := f.o.Log.Read(ctx, configuration.Stream, from, readWait)
	if err != nil {
		return err
	}
	if page.Next < from {
		return &ShrunkError{From: from, Next: page.Next}
	}
	f.take(configuration.Decode(page))
	return nil
}

// begin finds out, once, where the stream ends, so as not to read all of it.
func (f *Follower) begin(ctx context.Context) error {
	if f.begun {
		return nil
	}
	page, err := f.o.Log.Read(ctx, configuration.Stream, configuration.End, 0)
	if err != nil {
		return err
	}
	f.begun = true
	f.o.Mu.Lock()
	defer f.o.Mu.Unlock()
	f.o.Config.Begin(page.First, page.Next)
	return nil
}

func (f *Follower) take(b configuration.Batch) {
	f.o.Mu.Lock()
	defer f.o.Mu.Unlock()
	before := f.o.Config.State().Version
	for _, d := range f.o.Config.Take(f.o.Clock.Now(), b) {
		f.report(d)
	}
	if f.o.Config.State().Version != before {
		f.live("log")
	}
	if lost := !f.o.Config.Following(); lost != f.lost {
		f.lost = lost
		f.reportLost()
	}
}

// report logs what became of a record that did not come into force.
func (f *Follower) report(d configuration.Decision) {
	switch d.Verdict {
	case configuration.Superseded:
		f.o.Logger.Log(event.ConfigSuperseded, "id", d.ID, "version", d.Version, "offset", d.Offset)
	case configuration.Invalid:
		f.reject(d.Err)
	default:
	}
}

func (f *Follower) reject(err error) {
	var conflict *configuration.ConflictError
	if errors.As(err, &conflict) {
		f.o.Logger.Log(event.InvariantBroken, "error", err)
		return
	}
	f.o.Logger.Log(event.ConfigurationBad, "error", err)
}

// live tells of a new configuration; callers hold Mu.
func (f *Follower) live(source string) {
	f.o.Logger.Log(event.ConfigurationInForce, "version", f.o.Config.State().Version, "source", source)
	f.o.Live()
}

func (f *Follower) reportLost() {
	if f.lost {
		f.o.Logger.Log(event.ConfigHistoryLost, "offset", f.o.Config.Next())
		return
	}
	f.o.Logger.Log(event.ConfigHistoryKnown, "version", f.o.Config.State().Version)
}

// note logs when the log stops or begins to answer.
func (f *Follower) note(err error) {
	unreachable := err != nil
	if unreachable == f.unreachable {
		return
	}
	f.unreachable = unreachable
	if unreachable {
		f.o.Logger.Log(event.LogUnreachable, "error", err)
		return
	}
	f.o.Logger.Log(event.LogReachable)
}

// snapshot appends a snapshot when one is due. One whose reply is lost is seen by reading, or appended again.
func (f *Follower) snapshot(ctx context.Context) {
	record, due := f.dueSnapshot()
	if !due {
		return
	}
	data, err := record.Encode()
	if err != nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, appendTimeout)
	defer cancel()
	if _, err := f.o.Log.Append(ctx, configuration.Stream, data); err == nil {
		f.o.Logger.Log(event.ConfigSnapshot, "version", record.Version, "through", record.Through)
	}
}

func (f *Follower) dueSnapshot() (configuration.Record, bool) {
	now := f.o.Clock.Now()
	f.o.Mu.Lock()
	defer f.o.Mu.Unlock()
	if !f.o.Config.SnapshotDue(now) {
		return configuration.Record{}, false
	}
	return f.o.Config.Snapshot(now), true
}

// pause returns the time between two reads, so that all processes of the site together keep to
// readsPerSecond. Peers bring new versions meanwhile.
func (f *Follower) pause() time.Duration {
	f.o.Mu.Lock()
	defer f.o.Mu.Unlock()
	if !f.o.Config.Following() || !f.o.Config.CaughtUp() {
		return 0
	}
	return pauseOf(f.o.Config.Site())
}

func pauseOf(s *site.Site) time.Duration {
	if s == nil {
		return 0
	}
	period := time.Duration(processesPerServer*s.ServerCount()) * time.Second / readsPerSecond
	return max(0, period-readWait.Duration())
}

// jitter returns d, half as long to half as long again.
func (f *Follower) jitter(d time.Duration) time.Duration {
	return time.Duration((0.5 + f.o.Random()) * float64(d))
}
