package direct

import (
	"context"
	"time"

	"github.com/laburnumring/laburnumring/internal/event"
	"github.com/laburnumring/laburnumring/internal/interval"
	"github.com/laburnumring/laburnumring/internal/overload"
	"github.com/laburnumring/laburnumring/pkg/clock"
)

// busyWait is how long after it was read a request may still be sent while there is too little processor time: its answer
// would wait as long again.
const busyWait = 250 * clock.Millis(1)

// Refusing records that new connections are reset now.
func (r *Router) Refusing() { r.refusing.Store(int64(r.o.Clock.Now())) }

// Refused records for how long new connections were reset.
func (r *Router) Refused(d time.Duration) { r.refused.Add(int64(d)) }

// Full reports whether the process has no processor time for new connections, and other routers may.
func (r *Router) Full() bool { return r.full.Load() }

// Busy reports whether the process has too little processor time for what is in progress, and other routers may have more.
func (r *Router) Busy() bool { return r.busy.Load() }

// poll looks at the waiting requests and at the processor's load again and again.
func (r *Router) poll(ctx context.Context) {
	m := overload.New()
	interval.Every(ctx, overload.Interval.Duration(), func() {
		now := r.o.Clock.Now()
		changed := m.Fired(now, clock.Millis(r.refusing.Load()))
		others := len(r.gossip.Peers()) > 0
		r.mu.Lock()
		defer r.mu.Unlock()
		r.overloaded = m.Overloaded()
		if r.overloaded {
			r.rotation.Overloaded(now)
		}
		r.late = m.ShortLag()
		if r.busy.Load() {
			r.busyTime += m.LastInterval().Duration()
		}
		r.busy.Store(others && m.Busy())
		r.full.Store(others && m.Saturated())
		r.intake.SetBusy(others && m.Busy())
		r.intake.SetLag(m.ShortLag())
		away := r.rotation.Away(now, r.state(now))
		if changed || away != r.away.Load() {
			r.o.Logger.Log(event.OverloadChanged, "overloaded", r.overloaded, "late_ms", int64(m.LongLag()),
				"shed_percent", int(100*m.Shed()), "takes_connections", !away, "in_progress", r.inbound.Load())
		}
		r.away.Store(away)
		r.decide()
	})
}
