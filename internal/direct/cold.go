package direct

import (
	"net/netip"

	"github.com/laburnumring/laburnumring/internal/event"
	"github.com/laburnumring/laburnumring/pkg/clock"
)

// alone reports whether the router was started without the address of any other.
func alone(o Options) bool {
	for _, a := range o.Seeds {
		if a != o.Address.Addr() && a != (netip.Addr{}) {
			return false
		}
	}
	return true
}

// updateCold passes the cold times of the newest list to the decisions, also when the servers are the same. The caller
// holds mu.
func (r *Router) updateCold() {
	now := r.o.Clock.Now()
	r.intake.UpdateCold(now, r.roster.List().Entries)
}

// maxColdLines limits the lines about cold servers in each run of the prune loop.
const maxColdLines = 32

// logCold logs which servers became cold or warm and updates the gauge. The caller holds mu.
func (r *Router) logCold(now clock.Millis) {
	r.metrics.cold.Set(float64(r.intake.ColdServers(now)))
	changes := r.intake.ColdChanges(now)
	for _, c := range changes[:min(len(changes), maxColdLines)] {
		r.o.Logger.Log(event.ServerColdChanged, "server", c.Server, "cold", c.Cold, "left_ms", int64(c.Left),
			"more", max(0, len(changes)-maxColdLines))
	}
}
