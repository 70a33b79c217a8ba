package direct

import (
	"context"
	"time"

	"github.com/laburnumring/laburnumring/internal/event"
	"github.com/laburnumring/laburnumring/internal/interval"
	"github.com/laburnumring/laburnumring/internal/overload"
	"github.com/laburnumring/laburnumring/pkg/clock"
)

// maxBusyWait is how long after it was read a request may still be sent while there is too little processor time: its
// answer would be delayed by as much again.
const maxBusyWait = 250 * clock.Millis(1)

// ShedStarted records that new connections are being reset now.
func (r *Router) ShedStarted() { r.lastShed.Store(int64(r.o.Clock.Now())) }

// ShedEnded adds to the time for which new connections were reset.
func (r *Router) ShedEnded(d time.Duration) { r.shedTime.Add(int64(d)) }

// Saturated reports whether the process has no processor time for new connections while other routers may have some.
func (r *Router) Saturated() bool { return r.saturated.Load() }

// Busy reports whether the process has too little processor time for the requests in progress while other routers may
// have more.
func (r *Router) Busy() bool { return r.busy.Load() }

// beat records that the process runs. The caller holds mu.
func (r *Router) beat() { r.standstill.Beat(r.o.Clock.Now(), clock.Millis(time.Now().UnixMilli())) }

// stoodStill reports whether messages that are handled now may have been received while the process stood still. The
// caller holds mu.
func (r *Router) stoodStill(now clock.Millis) bool {
	return r.standstill.Recent(now, clock.Millis(time.Now().UnixMilli()))
}

// poll checks the waiting requests and the processor load at regular intervals.
func (r *Router) poll(ctx context.Context) {
	m := overload.New()
	interval.Every(ctx, overload.Interval.Duration(), func() {
		now := r.o.Clock.Now()
		changed := m.Fired(now, clock.Millis(r.lastShed.Load()))
		others := len(r.gossip.Peers()) > 0
		r.mu.Lock()
		defer r.mu.Unlock()
		r.beat()
		r.overloaded = m.Overloaded()
		if r.overloaded {
			r.rotation.RecordOverload(now)
		}
		r.timerLag = m.ShortLag()
		if r.busy.Load() {
			r.busyTime += m.LastInterval().Duration()
		}
		r.busy.Store(others && m.Busy())
		r.saturated.Store(others && m.Saturated())
		r.intake.SetBusy(others && m.Busy())
		r.intake.SetLag(m.ShortLag())
		outOfRotation := r.rotation.OutOfRotation(now, r.state(now))
		if changed || outOfRotation != r.outOfRotation.Load() {
			r.o.Logger.Log(event.OverloadChanged, "overloaded", r.overloaded, "late_ms", int64(m.LongLag()),
				"shed_percent", int(100*m.Shed()), "takes_connections", !outOfRotation, "in_progress", r.inbound.Load())
		}
		r.outOfRotation.Store(outOfRotation)
		r.deliverDecisions()
	})
}
