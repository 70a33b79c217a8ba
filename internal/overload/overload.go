// Package overload measures by the lateness of a timer how short of processor time a router is: too short for further
// streams, for new connections, or to stay in the load balancer's rotation.
package overload

import (
	"github.com/laburnumring/laburnumring/internal/cpulag"
	"github.com/laburnumring/laburnumring/internal/hysteresis"
	"github.com/laburnumring/laburnumring/pkg/clock"
)

// Interval is the period of the timer that is measured.
const Interval = 10 * clock.Millis(1)

// Thresholds of the processor's load.
const (
	// overloadEnterLag and overloadLeaveLag are the mean timer lag from which on new connections should go to other
	// routers, and below which they may come here again. A quota of processor time that is used up causes a mean of
	// about 50 ms.
	overloadEnterLag = 90 * clock.Millis(1)
	overloadLeaveLag = 40 * clock.Millis(1)
	// overloadTimeConstant is the time constant of that mean. The load balancer takes two more seconds to act.
	overloadTimeConstant = 700 * clock.Millis(1)
	// busyEnterLag, busyLeaveLag and busyTimeConstant are the same for the refusal of streams, which must begin before
	// streams are late: a request waits for the processor about five times before its first event.
	busyEnterLag     = 40 * clock.Millis(1)
	busyLeaveLag     = 15 * clock.Millis(1)
	busyTimeConstant = 150 * clock.Millis(1)
	// saturatedEnterLag is the mean lag, with the same time constant, from which on new connections are reset: even
	// refusals would be too late.
	saturatedEnterLag = 120 * clock.Millis(1)
	// shedEnter and shedLeave are the fraction of the time in which streams are refused or connections reset for lack
	// of processor time from which on the router counts as overloaded, and below which it no longer does;
	// shedTimeConstant is the time constant. Each router sees short bursts now and then.
	shedEnter        = 0.4
	shedLeave        = 0.1
	shedTimeConstant = 1 * clock.Second
	// resetHold is how long the reset of a connection counts as shedding.
	resetHold = 200 * clock.Millis(1)
)

// Meter measures the timer's lag. It is not safe for concurrent use.
type Meter struct {
	// overloadLag decides on the rotation, busyLag on streams, saturatedLag on connections.
	overloadLag  *cpulag.Meter
	busyLag      *cpulag.Meter
	saturatedLag *cpulag.Meter
	// shed is the fraction of the time in which streams are refused or connections reset.
	shed *hysteresis.Meter
	// lastFired is when the timer last fired; 0 before the first time. elapsed is the time between the last two
	// firings.
	lastFired clock.Millis
	elapsed   clock.Millis
}

// New returns a meter without observations.
func New() *Meter {
	return &Meter{
		overloadLag: cpulag.New(cpulag.Options{
			Enter: overloadEnterLag, Leave: overloadLeaveLag, TimeConstant: overloadTimeConstant,
		}),
		busyLag:      cpulag.New(cpulag.Options{Enter: busyEnterLag, Leave: busyLeaveLag, TimeConstant: busyTimeConstant}),
		saturatedLag: cpulag.New(cpulag.Options{Enter: saturatedEnterLag, Leave: busyEnterLag, TimeConstant: busyTimeConstant}),
		shed:         hysteresis.New(hysteresis.Options{Enter: shedEnter, Leave: shedLeave, TimeConstant: shedTimeConstant}),
	}
}

// Fired records that the timer fired. reset is when a connection was last reset; 0 if never. It returns true if
// Overloaded may have changed.
func (m *Meter) Fired(now, reset clock.Millis) bool {
	lagChanged := m.overloadLag.Fired(now, Interval)
	m.busyLag.Fired(now, Interval)
	m.saturatedLag.Fired(now, Interval)
	shedding := 0.0
	if reset > 0 && now-reset < resetHold || m.busyLag.Overloaded() {
		shedding = 1
	}
	if m.lastFired > 0 {
		m.elapsed = now - m.lastFired
	}
	m.lastFired = now
	shedChanged := m.shed.Observe(shedding, min(m.elapsed, resetHold))
	return lagChanged || shedChanged
}

// Overloaded reports whether new connections should go to other routers.
func (m *Meter) Overloaded() bool { return m.overloadLag.Overloaded() || m.shed.On() }

// Busy reports whether there is too little processor time for further streams.
func (m *Meter) Busy() bool { return m.busyLag.Overloaded() }

// Saturated reports whether there is too little processor time for new connections either.
func (m *Meter) Saturated() bool { return m.saturatedLag.Overloaded() }

// ShortLag returns the mean timer lag over a short time, on which Busy and Saturated are based.
func (m *Meter) ShortLag() clock.Millis { return m.busyLag.Lag() }

// LongLag returns the mean timer lag over a longer time, on which Overloaded is based.
func (m *Meter) LongLag() clock.Millis { return m.overloadLag.Lag() }

// Shed returns the fraction of the time in which streams were refused or connections reset.
func (m *Meter) Shed() float64 { return m.shed.Mean() }

// LastInterval returns the time between the last two firings.
func (m *Meter) LastInterval() clock.Millis { return m.elapsed }
