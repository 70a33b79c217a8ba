package direct

import (
	"context"
	"time"

	"github.com/laburnumring/laburnumring/internal/cpulag"
	"github.com/laburnumring/laburnumring/internal/event"
	"github.com/laburnumring/laburnumring/internal/hysteresis"
	"github.com/laburnumring/laburnumring/internal/interval"
	"github.com/laburnumring/laburnumring/pkg/clock"
)

// Bounds of the processor's load.
const (
	// maxLag and calmLag are the mean lateness of the poll's timer from which on new connections should go elsewhere,
	// and below which they may come again. A quota of processor time that is used up makes a mean of about 50 ms.
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
	// busyWait is how long after it was read a request may still be sent while there is too little processor time: its
	// answer would wait as long again.
	busyWait = 250 * clock.Millis(1)
)

// meters tell from late timers how far the processor falls behind.
type meters struct {
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

func newMeters() *meters {
	return &meters{
		lag:  cpulag.New(cpulag.Options{Enter: maxLag, Leave: calmLag, Memory: lagMemory}),
		busy: cpulag.New(cpulag.Options{Enter: busyLag, Leave: freeLag, Memory: busyMemory}),
		full: cpulag.New(cpulag.Options{Enter: fullLag, Leave: busyLag, Memory: busyMemory}),
		shed: hysteresis.New(hysteresis.Options{Enter: maxShed, Leave: calmShed, Memory: shedMemory}),
	}
}

// fired records that the poll's timer fired, and whether connections are reset now. It reports whether the overload for
// the rotation may have changed.
func (m *meters) fired(now clock.Millis, refusing bool) bool {
	late := m.lag.Fired(now, clock.FromDuration(pollInterval))
	m.busy.Fired(now, clock.FromDuration(pollInterval))
	m.full.Fired(now, clock.FromDuration(pollInterval))
	refused := 0.0
	if refusing || m.busy.Overloaded() {
		refused = 1
	}
	if m.last > 0 {
		m.span = now - m.last
	}
	m.last = now
	shed := m.shed.Observe(refused, min(m.span, refusingTime))
	return late || shed
}

// Refusing records that new connections are reset now.
func (r *Router) Refusing() { r.refusing.Store(int64(r.o.Clock.Now())) }

// Refused records for how long new connections were reset.
func (r *Router) Refused(d time.Duration) { r.refused.Add(int64(d)) }

// Full reports whether the process has no processor time for new connections, and other routers may.
func (r *Router) Full() bool { return r.full.Load() }

// poll looks at the waiting requests and at the processor's load again and again.
func (r *Router) poll(ctx context.Context) {
	m := newMeters()
	interval.Every(ctx, pollInterval, func() {
		now := r.o.Clock.Now()
		changed := m.fired(now, now-clock.Millis(r.refusing.Load()) < refusingTime)
		others := len(r.gossip.Peers()) > 0
		r.mu.Lock()
		defer r.mu.Unlock()
		r.overloaded = m.lag.Overloaded() || m.shed.On()
		if r.overloaded {
			r.rotation.Overloaded(now)
		}
		r.late = m.busy.Late()
		if r.busy.Load() {
			r.busyTime += m.span.Duration()
		}
		r.busy.Store(m.busy.Overloaded())
		r.full.Store(others && m.full.Overloaded())
		r.intake.SetBusy(others && m.busy.Overloaded())
		away := r.rotation.Away(now, r.state(now))
		if changed || away != r.away.Load() {
			r.o.Logger.Log(event.OverloadChanged, "overloaded", r.overloaded, "late_ms", int64(m.lag.Late()),
				"shed_percent", int(100*m.shed.Mean()), "takes_connections", !away, "in_progress", r.inbound.Load())
		}
		r.away.Store(away)
		r.decide()
	})
}
