package agent

import (
	"github.com/laburnumring/laburnumring/internal/admission"
	"github.com/laburnumring/laburnumring/internal/event"
	"github.com/laburnumring/laburnumring/pkg/clock"
	"github.com/laburnumring/laburnumring/pkg/service"
)

// newLimit returns the limit of requests that the backend server runs at once. Only model engines report service
// units while a request runs, so the limit adapts for them only.
func (a *Agent) newLimit() *admission.Limit {
	o := admission.LimitOptions{Slots: a.o.Server.Slots()}
	if a.o.Kind == service.Model {
		o.Target = a.o.TokenTarget
	}
	return admission.NewLimit(o)
}

// adaptLimit updates the limit and applies it to admission. a.mu must be held.
func (a *Agent) adaptLimit(now clock.Millis) {
	before := a.limit.Current()
	a.limit.Adapt(now, a.admission.InUse())
	n := a.limit.Current()
	if n == before {
		return
	}
	a.admission.SetLimit(n)
	a.o.Logger.Log(event.LimitChanged, "limit", n)
}
