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

// intakePolicy is the product's own: a controller a router.
type intakePolicy struct {
	w        *world
	routers  []*router
	engines  map[string]int
	exchange clock.Millis
	// in holds the routers that the balancer uses, and looked is when it last looked.
	in     []int
	looked clock.Millis
}

func newIntakePolicy(w *world) *intakePolicy {
	p := &intakePolicy{w: w, engines: make(map[string]int)}
	for i := range w.engines {
		p.engines[engineName(i)] = i
	}
	table := routing.New(routing.Options{
		Version: 1, Limits: routing.Limits{TokensPerSecond: w.site.TokensPerSecond},
		Services: []routing.Service{{
			Name: service, IsEngine: true, Slots: w.site.Engine.Slots, KVTokens: w.site.Engine.Memory, EventTokens: 1,
		}},
	})
	for i := range w.load.Routers {
		r := &router{c: intake.New(intake.Options{}), meter: overload.New()}
		r.c.Configure(table)
		r.c.SetServers(w.entries())
		r.rotation = rotation.New(rotation.Options{Name: engineName(i)})
		if i < len(w.site.Processors) {
			r.processor = w.site.Processors[i]
			n := 1000 * r.processor / requestTime
			r.gate = rate.NewLimiter(rate.Limit(n), int(burstTime*n))
		}
		p.routers = append(p.routers, r)
	}
	return p
}

// state is what a router tells the others of itself.
func (p *intakePolicy) state(r *router) rotation.State {
	return rotation.State{
		Capacity: int(1000 * cmp.Or(r.processor, 1)), Serving: true, Overloaded: r.meter.Overloaded(),
		RecentlyOverloaded: r.rotation.RecentlyOverloaded(p.w.now), OutOfRotation: r.balanced.out,
	}
}

func (p *intakePolicy) arrive(f *flight) {
	f.router = p.balance(f.router)
	r := p.routers[f.router]
	if r.meter.Saturated() || !r.admits(p.w.now) {
		r.reset = p.w.now
		p.w.refuse(f, resetReturn)
		return
	}
	p.w.at(r.spend(p.w.now, requestTime), func() {
		f.came = p.w.now
		if d, ok := r.c.Submit(p.w.now, f.request()); ok {
			p.decided(r, d)
		}
	})
}

func (p *intakePolicy) decided(r *router, d intake.Decision) {
	f := p.w.flights[d.Request]
	if d.Refusal != nil {
		p.w.refuse(f, d.Refusal.RetryAfter)
		return
	}
	r.spend(p.w.now, streamTime)
	p.w.send(f, p.engines[d.Server.ID])
}

func (p *intakePolicy) poll() {
	for _, r := range p.routers {
		if float64(p.w.now) < r.due {
			continue
		}
		r.due = max(r.free, float64(p.w.now))
		r.meter.Fired(p.w.now, r.reset)
		if r.meter.Overloaded() {
			r.rotation.RecordOverload(p.w.now)
		}
		r.c.SetBusy(r.meter.Busy())
		r.c.SetLag(r.meter.ShortLag())
		for _, d := range r.c.Poll(p.w.now) {
			p.decided(r, d)
		}
	}
	if p.w.now >= p.looked+lookInterval {
		p.looked = p.w.now
		p.look()
	}
	if p.w.now < p.exchange+cmp.Or(p.w.site.Exchange, exchangeInterval) {
		return
	}
	p.exchange = p.w.now
	for i, from := range p.routers {
		report, state := from.c.Report(p.w.now), p.state(from)
		for j, to := range p.routers {
			if i != j {
				p.w.at(p.w.now+exchangeDelay, func() {
					to.c.Merge(p.w.now, engineName(i), report)
					to.rotation.Merge(p.w.now, engineName(i), state)
				})
			}
		}
	}
}

func (p *intakePolicy) started(f *flight) {
	p.w.at(f.firstAt, func() { p.routers[f.router].c.Started(p.w.now, f.id) })
}

func (p *intakePolicy) ended(f *flight) {
	c := p.routers[f.router].c
	events := int(f.output)
	c.Progress(f.id, events, max(1, f.doneAt-f.firstAt))
	p.w.at(max(f.doneAt, f.firstAt), func() { c.Ended(p.w.now, f.id, intake.Whole) })
}
