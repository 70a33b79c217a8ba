package experiment

import (
	"cmp"

	"golang.org/x/time/rate"

	"github.com/laburnumring/laburnumring/internal/intake"
	"github.com/laburnumring/laburnumring/internal/overload"
	"github.com/laburnumring/laburnumring/internal/rotation"
	"github.com/laburnumring/laburnumring/internal/routing"
	"github.com/laburnumring/laburnumring/pkg/clock"
)

// intakePolicy is the router's own policy: one intake controller per router, and a balancer in front of the routers.
type intakePolicy struct {
	w            *simulation
	routers      []*router
	engines      map[string]int
	lastExchange clock.Millis
	// inRotation holds the routers that the balancer uses, empty for all of them, and lastCheck is the time of its last
	// health check. lastExchange is when the routers last reported to each other.
	inRotation []int
	lastCheck  clock.Millis
}

func newIntakePolicy(w *simulation) *intakePolicy {
	p := &intakePolicy{w: w, engines: make(map[string]int)}
	for i := range w.engines {
		p.engines[engineName(i)] = i
	}
	table := routing.New(routing.Options{
		Version: 1, Routes: w.load.routes(), Limits: routing.Limits{TokensPerSecond: w.site.TokensPerSecond},
		Services: []routing.Service{{
			Name: service, IsEngine: true, Slots: w.site.Engine.Slots, KVTokens: w.site.Engine.Memory, EventTokens: int(max(1, w.site.Engine.EventTokens)),
		}},
	})
	for i := range w.load.Routers {
		r := &router{c: intake.New(intake.Options{}), meter: overload.New()}
		r.c.Configure(table)
		r.c.SetServers(w.entries())
		r.rotation = rotation.New(rotation.Options{Name: engineName(i)})
		if i < len(w.site.Processors) {
			r.cpuShare = w.site.Processors[i]
			n := 1000 * r.cpuShare / requestCPU
			r.limiter = rate.NewLimiter(rate.Limit(n), int(burstSeconds*n))
		}
		p.routers = append(p.routers, r)
	}
	return p
}

// rotationState returns what a router reports to the others about itself.
func (p *intakePolicy) rotationState(r *router) rotation.State {
	return rotation.State{
		Capacity: int(1000 * cmp.Or(r.cpuShare, 1)), Serving: true, Overloaded: r.meter.Overloaded(),
		RecentlyOverloaded: r.rotation.RecentlyOverloaded(p.w.now), OutOfRotation: r.balancer.outOfRotation,
	}
}

// arrive passes a request to its router. A saturated router, or one whose connection limiter is exhausted, resets the
// connection; the client then reconnects after resetRetryDelay.
func (p *intakePolicy) arrive(f *simRequest) {
	f.router = p.routerFor(f.router)
	r := p.routers[f.router]
	if r.meter.Saturated() || !r.admits(p.w.now) {
		r.lastReset = p.w.now
		p.w.refuse(f, resetRetryDelay)
		return
	}
	p.w.schedule(r.useCPU(p.w.now, requestCPU), func() {
		f.submittedAt = p.w.now
		if d, ok := r.c.Submit(p.w.now, f.request()); ok {
			p.applyDecision(r, d)
		}
	})
}

// applyDecision refuses a request or sends it to the chosen engine.
func (p *intakePolicy) applyDecision(r *router, d intake.Decision) {
	f := p.w.inFlight[d.Request]
	if d.Refusal != nil {
		p.w.refuse(f, d.Refusal.RetryAfter)
		return
	}
	r.useCPU(p.w.now, streamCPU)
	p.w.send(f, p.engines[d.Server.ID])
}

// poll runs the routers' timers, the balancer's health checks and the exchange of reports, each when it is due.
func (p *intakePolicy) poll() {
	for _, r := range p.routers {
		if float64(p.w.now) < r.nextPoll {
			continue
		}
		r.nextPoll = max(r.freeAt, float64(p.w.now))
		r.meter.Fired(p.w.now, r.lastReset)
		if r.meter.Overloaded() {
			r.rotation.RecordOverload(p.w.now)
		}
		r.c.SetBusy(r.meter.Busy())
		r.c.SetLag(r.meter.ShortLag())
		for _, d := range r.c.Poll(p.w.now) {
			p.applyDecision(r, d)
		}
	}
	if p.w.now >= p.lastCheck+healthCheckInterval {
		p.lastCheck = p.w.now
		p.checkRouters()
	}
	if p.w.now < p.lastExchange+cmp.Or(p.w.site.Exchange, exchangeInterval) {
		return
	}
	p.lastExchange = p.w.now
	for i, from := range p.routers {
		report, state := from.c.Report(p.w.now), p.rotationState(from)
		for j, to := range p.routers {
			if i != j {
				p.w.schedule(p.w.now+cmp.Or(p.w.site.ReportDelay, exchangeDelay), func() {
					to.c.Merge(p.w.now, engineName(i), report)
					to.rotation.Merge(p.w.now, engineName(i), state)
				})
			}
		}
	}
}

func (p *intakePolicy) started(f *simRequest) {
	p.w.schedule(f.firstAt, func() { p.routers[f.router].c.Started(p.w.now, f.id) })
}

func (p *intakePolicy) ended(f *simRequest) {
	c := p.routers[f.router].c
	events := int(max(1, f.output/max(1, p.w.site.Engine.EventTokens)))
	c.Progress(f.id, events, max(1, f.doneAt-f.firstAt))
	p.w.schedule(max(f.doneAt, f.firstAt), func() { c.Ended(p.w.now, f.id, intake.Whole) })
}
