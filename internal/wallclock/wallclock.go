// Package wallclock implements the clock that processes use in production.
package wallclock

import (
	"github.com/laburnumring/laburnumring"
	"github.com/laburnumring/laburnumring/pkg/clock"
)

// Clock starts at the wall time of its creation and then follows the monotonic clock.
type Clock struct {
	now func() clock.Millis
}

var _ laburnumring.Clock = (*Clock)(nil)

// New returns a clock that starts at the current wall time.
func New() *Clock {
	return &Clock{now: clock.System()}
}

// Now implements laburnumring.Clock.
func (c *Clock) Now() clock.Millis { return c.now() }
