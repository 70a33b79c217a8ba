// Package hysteresis turns a figure that jumps into a state that stays: a decayed mean with one bound to enter the state
// and a lower one to leave it.
package hysteresis

import "github.com/laburnumring/laburnumring/pkg/clock"

// Options are the settings of a Meter.
type Options struct {
	// Enter is the mean from which on the state holds, Leave the one below which it does not any more.
	Enter float64
	Leave float64
	// Memory is the time constant of the mean.
	Memory clock.Millis
}

// Meter follows a figure. It is used by one goroutine at a time.
type Meter struct {
	o    Options
	mean float64
	on   bool
}

// New returns a meter with a mean of zero.
func New(o Options) *Meter { return &Meter{o: o} }

// Observe takes the figure's value over the time that has passed since the last one, and reports whether that changed
// the state.
func (m *Meter) Observe(value float64, passed clock.Millis) bool {
	m.mean += min(1, float64(passed)/float64(m.o.Memory)) * (value - m.mean)
	was := m.on
	if m.on {
		m.on = m.mean >= m.o.Leave
	} else {
		m.on = m.mean >= m.o.Enter
	}
	return was != m.on
}

// Mean returns the decayed mean.
func (m *Meter) Mean() float64 { return m.mean }

// On reports whether the state holds.
func (m *Meter) On() bool { return m.on }
