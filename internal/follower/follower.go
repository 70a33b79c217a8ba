// Package follower keeps a process's configuration up to date, from the platform's log and from states that peers
// send.
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

// Options are the settings of a Follower.
type Options struct {
	// Log is the platform's log.
	Log laburnumring.Log
	// Logger records events.
	Logger *event.Logger
	// Clock is the process's clock.
	Clock laburnumring.Clock
	// Mu guards Config.
	Mu sync.Locker
	// Config is the process's configuration controller.
	Config *configuration.Controller
	// OnChange is called, with Mu held, after a new configuration has come into force.
	OnChange func()
	// Random returns numbers in [0, 1); it is safe for concurrent use.
	Random func() float64
}

const (
	// readWait is the maximum time that one read waits for a record.
	readWait = 1 * clock.Second
	// minRetry and maxRetry limit the pause after a failed read.
	minRetry = 500 * time.Millisecond
	maxRetry = 4 * time.Second
	// readsPerSecond limits the total rate at which all processes of a site read while nothing changes.
	readsPerSecond = 200
	// processesPerServer is the maximum number of processes that a site has for each of its backend servers.
	processesPerServer = 2
	// appendTimeout limits the append of a snapshot.
	appendTimeout = 5 * time.Second
)

// Follower reads the configuration stream into a controller.
type Follower struct {
	o Options
	// positioned is set once the controller knows from which offset to read.
	positioned bool
	// unreachable is set after a failed read until the next successful one.
	unreachable bool
	// historyLost is set while the state cannot be determined from the log.
	historyLost bool
	// retryDelay is the pause after the next failed read.
	retryDelay time.Duration
}

// New returns a follower that is idle until Run is called.
func New(o Options) *Follower {
	return &Follower{o: o, retryDelay: minRetry}
}

// Run follows the log until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	for ctx.Err() == nil {
		err := f.read(ctx)
		if ctx.Err() != nil {
			return
		}
		f.logReachability(err)
		if err != nil {
			interval.Sleep(ctx, f.jitter(f.retryDelay))
			f.retryDelay = min(2*f.retryDelay, maxRetry)
			continue
		}
		f.retryDelay = minRetry
		f.appendSnapshot(ctx)
		interval.Sleep(ctx, f.jitter(f.idlePause()))
	}
}

// Adopt applies a state received from a peer; source is logged as its origin. The errors are those of the
// controller's Adopt.
func (f *Follower) Adopt(s configuration.State, source string) error {
	if err := s.Parse(); err != nil {
		f.o.Logger.Log(event.ConfigurationBad, "source", source, "error", err)
		return err
	}
	f.o.Mu.Lock()
	defer f.o.Mu.Unlock()
	live, err := f.o.Config.Adopt(s)
	if err != nil {
		f.logInvalid(err)
		return err
	}
	if live {
		f.announce(source)
	}
	return nil
}

// read reads one page of the stream and applies it.
func (f *Follower) read(ctx context.Context) error {
	if err := f.position(ctx); err != nil {
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
	f.apply(configuration.Decode(page))
	return nil
}

// position finds out, once, where the stream ends, so that only its last records need to be read.
func (f *Follower) position(ctx context.Context) error {
	if f.positioned {
		return nil
	}
	page, err := f.o.Log.Read(ctx, configuration.Stream, configuration.End, 0)
	if err != nil {
		return err
	}
	f.positioned = true
	f.o.Mu.Lock()
	defer f.o.Mu.Unlock()
	f.o.Config.StartNearEnd(page.First, page.Next)
	return nil
}

// apply applies a page of records, logs what became of them and announces a new configuration.
func (f *Follower) apply(b configuration.Batch) {
	f.o.Mu.Lock()
	defer f.o.Mu.Unlock()
	before := f.o.Config.State().Version
	for _, d := range f.o.Config.Apply(f.o.Clock.Now(), b) {
		f.logRejected(d)
	}
	if f.o.Config.State().Version != before {
		f.announce("log")
	}
	if lost := !f.o.Config.Following(); lost != f.historyLost {
		f.historyLost = lost
		f.logHistory()
	}
}

// logRejected logs a record that did not come into force.
func (f *Follower) logRejected(d configuration.Decision) {
	switch d.Verdict {
	case configuration.Superseded:
		f.o.Logger.Log(event.ConfigSuperseded, "id", d.ID, "version", d.Version, "offset", d.Offset)
	case configuration.Invalid:
		f.logInvalid(d.Err)
	default:
	}
}

// logInvalid logs an invalid record or state. One that contradicts the state held is logged as a broken invariant.
func (f *Follower) logInvalid(err error) {
	var conflict *configuration.ConflictError
	if errors.As(err, &conflict) {
		f.o.Logger.Log(event.InvariantBroken, "error", err)
		return
	}
	f.o.Logger.Log(event.ConfigurationBad, "error", err)
}

// announce logs a new configuration and calls OnChange; callers hold Mu.
func (f *Follower) announce(source string) {
	f.o.Logger.Log(event.ConfigurationInForce, "version", f.o.Config.State().Version, "source", source)
	f.o.OnChange()
}

// logHistory logs whether the state can be determined from the log; callers hold Mu.
func (f *Follower) logHistory() {
	if f.historyLost {
		f.o.Logger.Log(event.ConfigHistoryLost, "offset", f.o.Config.Next())
		return
	}
	f.o.Logger.Log(event.ConfigHistoryKnown, "version", f.o.Config.State().Version)
}

// logReachability logs when reads of the log begin to fail and when they succeed again.
func (f *Follower) logReachability(err error) {
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

// appendSnapshot appends a snapshot when one is due. If the reply is lost, later reads find the snapshot, or it is
// appended again.
func (f *Follower) appendSnapshot(ctx context.Context) {
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

// dueSnapshot returns the snapshot to append, and reports whether one is due.
func (f *Follower) dueSnapshot() (configuration.Record, bool) {
	now := f.o.Clock.Now()
	f.o.Mu.Lock()
	defer f.o.Mu.Unlock()
	if !f.o.Config.SnapshotDue(now) {
		return configuration.Record{}, false
	}
	return f.o.Config.Snapshot(now), true
}

// idlePause returns the pause between two reads with which all processes of the site together keep to
// readsPerSecond. New versions can also arrive from peers in that time. The pause is 0 while the state is unknown or
// the stream is not read to its end.
func (f *Follower) idlePause() time.Duration {
	f.o.Mu.Lock()
	defer f.o.Mu.Unlock()
	if !f.o.Config.Following() || !f.o.Config.CaughtUp() {
		return 0
	}
	return pauseForSite(f.o.Config.Site())
}

// pauseForSite returns the pause for the number of processes of a site; 0 without a site.
func pauseForSite(s *site.Site) time.Duration {
	if s == nil {
		return 0
	}
	period := time.Duration(processesPerServer*s.ServerCount()) * time.Second / readsPerSecond
	return max(0, period-readWait.Duration())
}

// jitter returns a random duration from 0.5 to 1.5 times d.
func (f *Follower) jitter(d time.Duration) time.Duration {
	return time.Duration((0.5 + f.o.Random()) * float64(d))
}
