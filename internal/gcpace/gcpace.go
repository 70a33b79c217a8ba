// Package gcpace makes the garbage collector run less often while a process is busy, which takes more memory and less
// processor time.
package gcpace

import (
	"context"
	"runtime/debug"
	"time"

	"github.com/laburnumring/laburnumring/internal/interval"
)

// Options configures Run.
type Options struct {
	// NormalPercent and BusyPercent are the garbage collection target percentages (see debug.SetGCPercent) for request
	// rates below BusyRate and from BusyRate on.
	NormalPercent int
	BusyPercent   int
	// BusyRate is in requests per second.
	BusyRate float64
	// Count returns the number of requests received since the start.
	Count func() int64
}

// period is the time between two measurements of the rate. It is long compared with a garbage collection and short
// compared with the time in which a queue grows.
const period = 250 * time.Millisecond

// Run sets the garbage collection target until ctx ends.
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
		return o.BusyPercent
	}
	return o.NormalPercent
}
