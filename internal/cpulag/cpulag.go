// Package cpulag tells from late timers whether a process gets too little processor time for its work.
package cpulag

import (
	"github.com/laburnumring/laburnumring/internal/hysteresis"
	"github.com/laburnumring/laburnumring/pkg/clock"
)

// Options are the settings of a Meter.
type Options struct {
	// Enter and Leave are the mean lateness from which on the process counts as overloaded, and below which it does
	// not any more.
	Enter clock.Millis
	Leave clock.Millis
	// Memory is the time constant of the mean; one second when zero.
	Memory clock.Millis
}

const (
	defaultMemory = 1 * clock.Second
	// maxLate bounds what one timer counts for. It is over the pause of a processor whose quota for a tenth of a second is
	// used up.
	maxLate = 200 * clock.Millis(1)
	// maxPause is how late a timer is at most for want of processor time: a VM that stood still longer was not overloaded.
	maxPause = 2 * clock.Second
)

// Meter follows a timer that should fire at a fixed interval. It is used by one goroutine at a time.
type Meter struct {
	// last is when the timer fired; 0 before.
	last clock.Millis
	// late is how late it was, in milliseconds.
	late *hysteresis.Meter
}

// New returns a meter that has seen nothing.
func New(o Options) *Meter {
	if o.Memory == 0 {
		o.Memory = defaultMemory
	}
	return &Meter{late: hysteresis.New(hysteresis.Options{
		Enter: float64(o.Enter), Leave: float64(o.Leave), Memory: o.Memory,
	})}
}

// Fired records that the timer fired, interval after it was set, and reports whether that changed the verdict.
func (m *Meter) Fired(now, interval clock.Millis) bool {
	if m.last == 0 {
		m.last = now
		return false
	}
	passed := now - m.last
	m.last = now
	if passed > maxPause {
		return false
	}
	return m.late.Observe(float64(min(maxLate, max(0, passed-interval))), min(passed, maxLate))
}

// Late returns the mean lateness.
func (m *Meter) Late() clock.Millis { return clock.Millis(m.late.Mean()) }

// Overloaded reports the verdict.
func (m *Meter) Overloaded() bool { return m.late.On() }
