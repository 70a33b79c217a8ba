package direct

import (
	"strings"

	"github.com/laburnumring/laburnumring"
	"github.com/laburnumring/laburnumring/internal/evacuation"
	"github.com/laburnumring/laburnumring/internal/event"
	"github.com/laburnumring/laburnumring/internal/gossip"
	"github.com/laburnumring/laburnumring/pkg/clock"
)

// applyEvacuations applies the evacuated places that this router has read.
func (r *Router) applyEvacuations(e laburnumring.Evacuations) {
	r.mu.Lock()
	defer r.mu.Unlock()
	known := r.evacuated.Known()
	r.evacuationsChanged(r.evacuated.Apply(r.o.Clock.Now(), e), "platform")
	if !known {
		r.notifyListUpdated()
	}
}

// mergeEvacuations applies what a peer reports of evacuated places. The caller holds mu.
func (r *Router) mergeEvacuations(now clock.Millis, from string, m gossip.Message) {
	r.evacuationsChanged(r.evacuated.Merge(now, m.Evacuated), from)
	peerKnows := m.ConfigurationAge != gossip.UnknownAge || m.Relayed.Configuration != gossip.UnknownAge
	if peerKnows && !r.evacuated.Known() {
		r.evacuated.SetKnown()
		r.notifyListUpdated()
	}
}

// evacuationsChanged applies a change of the evacuated places to the decisions. The caller holds mu.
func (r *Router) evacuationsChanged(c evacuation.Change, source string) {
	if c.Empty() {
		return
	}
	r.o.Logger.Log(event.EvacuationsChanged, "places", strings.Join(r.evacuated.Places(), ","), "source", source,
		"evacuated", strings.Join(c.Evacuated, ","), "reopened", strings.Join(c.Reopened, ","),
		"held", r.evacuated.Held(), "revision", r.evacuated.Revision())
	r.metrics.evacuated.Set(float64(len(r.evacuated.Places())))
	r.setUsableServers()
	now := r.o.Clock.Now()
	for _, place := range c.Reopened {
		r.intake.PlaceReopened(now, place)
	}
	r.deliverDecisions()
}

// setUsableServers passes the servers that may get work and are in no evacuated place to the decisions. It returns their
// number. The caller holds mu.
func (r *Router) setUsableServers() int {
	var usable []laburnumring.ServerEntry
	for _, e := range r.roster.Servers() {
		if !r.evacuated.Contains(e.Place) {
			usable = append(usable, e)
		}
	}
	r.intake.SetServers(usable)
	r.intake.SetEvacuating(len(r.evacuated.Places()) > 0)
	return len(usable)
}
