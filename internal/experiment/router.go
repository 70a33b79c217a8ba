package experiment

import (
	"math"
	"time"

	"golang.org/x/time/rate"

	"github.com/laburnumring/laburnumring/internal/intake"
	"github.com/laburnumring/laburnumring/internal/overload"
	"github.com/laburnumring/laburnumring/internal/rotation"
	"github.com/laburnumring/laburnumring/pkg/clock"
)

// router is one router with its processor.
type router struct {
	c     *intake.Controller
	meter *overload.Meter
	// processor is the part of a core that the router has, 0 for enough, and free when it is done with what came, in
	// milliseconds.
	processor float64
	free      float64
	// due is when the timer fires next: it waits for what came before it.
	due float64
	// rotation decides whether the router takes new callers, and balanced is what the balancer made of that.
	rotation *rotation.Controller
	balanced balanced
	// gate bounds the callers that come in.
	gate *rate.Limiter
	// reset is when the router last reset a connection.
	reset clock.Millis
}

// balanced is how the balancer sees a router.
type balanced struct {
	misses int
	out    bool
}

// Processor time in milliseconds.
const (
	// requestTime is what a request takes until it is decided, by BenchmarkRefused and what calls of the kernel cost.
	requestTime = 0.3
	// streamTime is what passing on a stream takes beside.
	streamTime = 0.5
)

// resetReturn is when callers come back whose connection was reset.
const resetReturn = 20 * clock.Millis(1)

const (
	// burstTime is how long callers may come at any rate, in seconds.
	burstTime = 0.15
	// busyTokens is how many callers one counts for at a busy router.
	busyTokens = 2
)

// admits reports whether a new caller comes in.
func (r *router) admits(now clock.Millis) bool {
	if r.processor == 0 {
		return true
	}
	n := 1
	if r.meter.Busy() {
		n = busyTokens
	}
	return r.gate.AllowN(time.UnixMilli(int64(now)), n)
}

// spend uses processor time and returns when it is done.
func (r *router) spend(now clock.Millis, took float64) clock.Millis {
	if r.processor == 0 {
		return now
	}
	r.free = max(float64(now), r.free) + took/r.processor
	return clock.Millis(math.Ceil(r.free))
}
