// Package gcpace trades memory for processor time while a process is busy.
package gcpace

import (
	"context"
	"runtime/debug"
	"time"

	"github.com/laburnumring/laburnumring/internal/interval"
)

// Options are the settings of Run.
type Options struct {
	// Calm and Busy are the collector's targets, in percent of what is in use, below and from BusyRate on.
	Calm int
	Busy int
	// BusyRate is in requests a second.
	BusyRate float64
	// Count returns how many requests came since the start.
	Count func() int64
}

// period is the time between two looks: long against a collection, short against the growth of a queue.
const period = 250 * time.Millisecond

// Run sets the collector's target until ctx ends.
func Run(ctx context.Context, o Options) {
	last := o.Count()
	percent := 0
	interval.Every(ctx, period, func() {
		now := o.Count()
		want := o.percent(float64(now-last) / period.Seconds())
		last = now
		if want != percent {
			percent = want
			debug.SetGCPercent(percent)
		}
	})
}

func (o Options) percent(rate float64) int {
	if rate >= o.BusyRate {
		return o.Busy
	}
	return o.Calm
}
