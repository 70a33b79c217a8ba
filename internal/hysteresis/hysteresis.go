// Package hysteresis derives a steady on/off state from a fluctuating figure: the exponentially decayed mean switches
// the state on at one threshold and off below a lower one.
package hysteresis

import "github.com/laburnumring/laburnumring/pkg/clock"

// Options are the settings of a Meter.
type Options struct {
	// Enter is the mean from which on the state is on, Leave the mean below which it is off again.
	Enter float64
	Leave float64
	// TimeConstant is the time constant of the mean.
	TimeConstant clock.Millis
}

// Meter holds the mean and the state. It is not safe for concurrent use.
type Meter struct {
	o    Options
	mean float64
	on   bool
}

// New returns a meter with a mean of zero that is off.
func New(o Options) *Meter { return &Meter{o: o} }

// Observe records the figure's value over the time elapsed since the last call. It returns true if the state has
// changed.
func (m *Meter) Observe(value float64, elapsed clock.Millis) bool {
	m.mean += min(1, float64(elapsed)/float64(m.o.TimeConstant)) * (value - m.mean)
	was := m.on
	if m.on {
		m.on = m.mean >= m.o.Leave
	} else {
		m.on = m.mean >= m.o.Enter
	}
	return was != m.on
}

// Mean returns the exponentially decayed mean.
func (m *Meter) Mean() float64 { return m.mean }

// On reports whether the state is on.
func (m *Meter) On() bool { return m.on }
