// Package follower keeps a process's configuration up to date with the platform's log.
package follower

import (
	"context"
	"sync"
	"time"

	"github.com/laburnumring/laburnumring"
	"github.com/laburnumring/laburnumring/internal/configuration"
	"github.com/laburnumring/laburnumring/internal/event"
	"github.com/laburnumring/laburnumring/internal/interval"
	"github.com/laburnumring/laburnumring/pkg/clock"
)

// Options are what a Follower is built from.
type Options struct {
	// Log is the platform's log.
	Log laburnumring.LogReader
	// Logger takes events.
	Logger *event.Logger
	// Mu guards Config.
	Mu sync.Locker
	// Config is the process's configuration controller.
	Config *configuration.Controller
	// Live is called, with Mu held, when a new configuration is in force.
	Live func()
}

// pollInterval is the longest that one read waits for a record, and the pause after a failed one.
const pollInterval = 1 * time.Second

// Follower reads the configuration stream into a controller.
type Follower struct {
	o Options
	// next is the offset to read from; it only grows.
	next int64
	// reachable is false after a failed read.
	reachable bool
}

// New returns a follower that does nothing until Run.
func New(o Options) *Follower {
	return &Follower{o: o, reachable: true}
}

// Run follows the log until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	for ctx.Err() == nil {
		page, err := f.o.Log.Read(ctx, configuration.Stream, f.next, clock.FromDuration(pollInterval))
		if ctx.Err() != nil {
			return
		}
		f.note(err)
		if err != nil {
			interval.Sleep(ctx, pollInterval)
			continue
		}
		f.take(page)
	}
}

// note logs when the log stops or begins to answer.
func (f *Follower) note(err error) {
	reachable := err == nil
	if reachable == f.reachable {
		return
	}
	f.reachable = reachable
	if reachable {
		f.o.Logger.Log(event.LogReachable)
		return
	}
	f.o.Logger.Log(event.LogUnreachable, "error", err)
}

func (f *Follower) take(page laburnumring.Page) {
	f.o.Mu.Lock()
	defer f.o.Mu.Unlock()
	f.next = max(f.next, page.First)
	for _, r := range page.Records {
		f.apply(r)
		f.next = r.Offset + 1
	}
}

// apply hands a record to the controller; callers hold Mu.
func (f *Follower) apply(r laburnumring.Record) {
	live, err := f.o.Config.Apply(r.Offset, r.Data)
	if err != nil {
		f.o.Logger.Log(event.ConfigurationBad, "error", err)
		return
	}
	if !live {
		return
	}
	f.o.Logger.Log(event.ConfigurationLive, "version", f.o.Config.Current().Version)
	f.o.Live()
}
