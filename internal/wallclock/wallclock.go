// Package wallclock implements the clock of running processes.
package wallclock

import (
	"github.com/laburnumring/laburnumring"
	"github.com/laburnumring/laburnumring/pkg/clock"
)

// Clock follows the monotonic clock from the wall time at which it was made.
type Clock struct {
	now func() clock.Millis
}

var _ laburnumring.Clock = (*Clock)(nil)

// New returns a clock.
func New() *Clock {
	return &Clock{now: clock.System()}
}

// Now implements laburnumring.Clock.
func (c *Clock) Now() clock.Millis { return c.now() }
