// Package graceperiod decides which requests a process still passes on while it is being stopped.
package graceperiod

import "github.com/laburnumring/laburnumring/pkg/clock"

const (
	// acceptTime is how long new requests are passed on after the stop has begun: the load balancer notices it within two of
	// its checks, which run once a second.
	acceptTime = 2 * clock.Second
	// maxEndMargin is the most time kept at the end of the grace time for closing connections. Within the last sixth of the
	// grace time, callers must expect that a request is cut that a server is still working on.
	maxEndMargin      = 900 * clock.Millis(1)
	endMarginFraction = 6
)

// Plan is the schedule of one stop.
type Plan struct {
	began, accepts, end clock.Millis
}

// New returns the plan of a stop that begins now and may take as long as grace.
func New(now, grace clock.Millis) Plan {
	end := now + grace - min(maxEndMargin, grace/endMarginFraction)
	return Plan{began: now, accepts: now + min(acceptTime, (end-now)/2), end: end}
}

// Accepts reports whether new requests are read. Later ones are refused without being looked at.
func (p Plan) Accepts(now clock.Millis) bool { return now < p.accepts }

// Admits reports whether a request may be passed on to a server that is expected to work on it for the given time; 0 if
// that is not known.
func (p Plan) Admits(now, work clock.Millis) bool { return p.Accepts(now) && now+work <= p.end }

// End returns when the requests that are still in progress are given up.
func (p Plan) End() clock.Millis { return p.end }
