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

// router is one simulated router with its CPU time. All times are in milliseconds.
type router struct {
	c     *intake.Controller
	meter *overload.Meter
	// cpuShare is the fraction of a core that the router has, 0 for unlimited CPU time. freeAt is when the CPU has
	// finished all work so far.
	cpuShare float64
	freeAt   float64
	// nextPoll is the earliest time of the next poll. The timer fires late on a busy router, after the work that was
	// queued before it.
	nextPoll float64
	// rotation decides whether the router is in rotation, and balancer is the balancer's view of that.
	rotation *rotation.Controller
	balancer balancerState
	// limiter limits the rate of new connections.
	limiter *rate.Limiter
	// lastReset is when the router last reset a connection.
	lastReset clock.Millis
}

// balancerState is the balancer's view of a router: its failed health checks in a row, and whether they took it out of
// rotation.
type balancerState struct {
	failedChecks  int
	outOfRotation bool
}

// Costs in milliseconds of CPU time on a whole core.
const (
	// requestCPU is the cost of a request up to the decision on it: the time of BenchmarkRefused and the cost of system
	// calls.
	requestCPU = 0.3
	// streamCPU is the additional cost of relaying the answer's stream.
	streamCPU = 0.5
)

// resetRetryDelay is the time after which a client reconnects when its connection was reset.
const resetRetryDelay = 20 * clock.Millis(1)

const (
	// burstSeconds is the length of a burst, in seconds at the sustainable rate, that the connection limiter lets
	// through.
	burstSeconds = 0.15
	// busyCost is the number of connections for which a new one counts while the router is busy.
	busyCost = 2
)

// admits reports whether the connection limiter accepts a new connection.
func (r *router) admits(now clock.Millis) bool {
	if r.cpuShare == 0 {
		return true
	}
	n := 1
	if r.meter.Busy() {
		n = busyCost
	}
	return r.limiter.AllowN(time.UnixMilli(int64(now)), n)
}

// useCPU queues work that takes cpuTime milliseconds of a whole core and returns the time at which it is done.
func (r *router) useCPU(now clock.Millis, cpuTime float64) clock.Millis {
	if r.cpuShare == 0 {
		return now
	}
	r.freeAt = max(float64(now), r.freeAt) + cpuTime/r.cpuShare
	return clock.Millis(math.Ceil(r.freeAt))
}
