// Package cpulag detects by the lateness of a timer that a process gets too little processor time.
package cpulag

import (
	"github.com/laburnumring/laburnumring/internal/hysteresis"
	"github.com/laburnumring/laburnumring/pkg/clock"
)

// Options are the settings of a Meter.
type Options struct {
	// Enter is the mean lag from which on the process counts as overloaded, Leave the one below which it no longer
	// does.
	Enter clock.Millis
	Leave clock.Millis
	// TimeConstant is the time constant of the mean lag; one second by default.
	TimeConstant clock.Millis
}

const (
	defaultTimeConstant = 1 * clock.Second
	// maxSample limits the lag that one firing counts with. It is above the pause of a process that has used up its
	// processor quota for a tenth of a second.
	maxSample = 200 * clock.Millis(1)
	// suspendedGap is a longer time between two firings than a lack of processor time causes: beyond it, the VM was
	// suspended rather than overloaded.
	suspendedGap = 2 * clock.Second
)

// Meter measures the lag of a timer with a fixed interval. It is not safe for concurrent use.
type Meter struct {
	// lastFired is when the timer last fired; 0 before the first time.
	lastFired clock.Millis
	// lag is the timer's lag in milliseconds.
	lag *hysteresis.Meter
}

// New returns a meter without observations.
func New(o Options) *Meter {
	if o.TimeConstant == 0 {
		o.TimeConstant = defaultTimeConstant
	}
	return &Meter{lag: hysteresis.New(hysteresis.Options{
		Enter: float64(o.Enter), Leave: float64(o.Leave), TimeConstant: o.TimeConstant,
	})}
}

// Fired records that the timer fired, interval after it was set. It returns true if Overloaded has changed.
func (m *Meter) Fired(now, interval clock.Millis) bool {
	if m.lastFired == 0 {
		m.lastFired = now
		return false
	}
	elapsed := now - m.lastFired
	m.lastFired = now
	if elapsed > suspendedGap {
		return false
	}
	return m.lag.Observe(float64(min(maxSample, max(0, elapsed-interval))), min(elapsed, maxSample))
}

// Lag returns the mean lag.
func (m *Meter) Lag() clock.Millis { return clock.Millis(m.lag.Mean()) }

// Overloaded reports whether the process gets too little processor time.
func (m *Meter) Overloaded() bool { return m.lag.On() }
