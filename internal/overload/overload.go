// Package overload tells from late timers how far a router's processor falls behind, and what it has no time for.
package overload

import (
	"github.com/laburnumring/laburnumring/internal/cpulag"
	"github.com/laburnumring/laburnumring/internal/hysteresis"
	"github.com/laburnumring/laburnumring/pkg/clock"
)

// Interval is the time between two firings of the timer that is followed.
const Interval = 10 * clock.Millis(1)

// Bounds of the processor's load.
const (
	// maxLag and calmLag are the mean lateness of the timer from which on new connections should go elsewhere, and below
	// which they may come again. A quota of processor time that is used up makes a mean of about 50 ms.
	maxLag  = 90 * clock.Millis(1)
	calmLag = 40 * clock.Millis(1)
	// lagMemory is the time constant of that mean: the balancer takes two seconds more to act.
	lagMemory = 700 * clock.Millis(1)
	// busyLag, freeLag and busyMemory are the same for the refusal of streams, which must come before they are late: a
	// request waits for the processor some five times until its first event.
	busyLag    = 40 * clock.Millis(1)
	freeLag    = 15 * clock.Millis(1)
	busyMemory = 150 * clock.Millis(1)
	// fullLag is the mean lateness, over the same memory, from which on new connections are reset: even refusals would
	// come too late.
	fullLag = 120 * clock.Millis(1)
	// maxShed and calmShed are the part of the time in which streams or connections are refused for want of processor
	// time from which on the router counts as overloaded, and below which it does not any more; shedMemory is the time
	// constant. A short burst at each router is usual.
	maxShed    = 0.4
	calmShed   = 0.1
	shedMemory = 1 * clock.Second
	// refusingTime is how long a reset of connections counts.
	refusingTime = 200 * clock.Millis(1)
)

// Meter follows the timer. It is used by one goroutine at a time.
type Meter struct {
	// lag is for the rotation, busy for the refusal of streams, full for that of connections.
	lag  *cpulag.Meter
	busy *cpulag.Meter
	full *cpulag.Meter
	// shed is the part of the time in which streams or connections are refused.
	shed *hysteresis.Meter
	// last is when the timer last fired, 0 before, and span how long after the time before.
	last clock.Millis
	span clock.Millis
}

// New returns a meter that has seen nothing.
func New() *Meter {
	return &Meter{
		lag:  cpulag.New(cpulag.Options{Enter: maxLag, Leave: calmLag, Memory: lagMemory}),
		busy: cpulag.New(cpulag.Options{Enter: busyLag, Leave: freeLag, Memory: busyMemory}),
		full: cpulag.New(cpulag.Options{Enter: fullLag, Leave: busyLag, Memory: busyMemory}),
		shed: hysteresis.New(hysteresis.Options{Enter: maxShed, Leave: calmShed, Memory: shedMemory}),
	}
}

// Fired records that the timer fired, and when connections were last reset. It reports whether Overloaded may have
// changed.
func (m *Meter) Fired(now, reset clock.Millis) bool {
	late := m.lag.Fired(now, Interval)
	m.busy.Fired(now, Interval)
	m.full.Fired(now, Interval)
	refused := 0.0
	if reset > 0 && now-reset < refusingTime || m.busy.Overloaded() {
		refused = 1
	}
	if m.last > 0 {
		m.span = now - m.last
	}
	m.last = now
	shed := m.shed.Observe(refused, min(m.span, refusingTime))
	return late || shed
}

// Overloaded reports whether new connections should go to other routers.
func (m *Meter) Overloaded() bool { return m.lag.Overloaded() || m.shed.On() }

// Busy reports whether there is too little processor time for more streams.
func (m *Meter) Busy() bool { return m.busy.Overloaded() }

// Full reports whether there is none for new connections either.
func (m *Meter) Full() bool { return m.full.Overloaded() }

// Late returns how late timers are on average over a short time.
func (m *Meter) Late() clock.Millis { return m.busy.Late() }

// Lag returns how late timers are on average over a longer time, on which Overloaded rests.
func (m *Meter) Lag() clock.Millis { return m.lag.Late() }

// Shed returns the part of the time in which streams or connections were refused.
func (m *Meter) Shed() float64 { return m.shed.Mean() }

// Span returns the time between the last two firings.
func (m *Meter) Span() clock.Millis { return m.span }
