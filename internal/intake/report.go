package intake

import (
	"github.com/cespare/xxhash/v2"

	"github.com/laburnumring/laburnumring/internal/fairshare"
	"github.com/laburnumring/laburnumring/internal/ratelimit"
	"github.com/laburnumring/laburnumring/pkg/clock"
)

// Report is the state that a router sends to its peers.
type Report struct {
	// Servers is the router's load by server, Teams the rates of its teams.
	Servers map[ServerKey]Load         `cbor:"6,keyasint"`
	Teams   map[string]fairshare.Rates `cbor:"2,keyasint"`
	// CapacityFactors holds, by service, the estimated ratio of the engines' throughput to the configured one.
	CapacityFactors map[string]float64 `cbor:"3,keyasint"`
	// Refused holds the lower halves of the fingerprints of the requests that the router refused recently.
	Refused []uint32 `cbor:"5,keyasint"`
	// Limits are the rates of requests that servers have named. Demand is the router's requests a second by service; it is
	// empty while no limit is known.
	Limits []ratelimit.Entry  `cbor:"7,keyasint,omitempty"`
	Demand map[string]float64 `cbor:"8,keyasint,omitempty"`
	// Costs and LimitedCosts are those of the requests that the router sent lately, by service, and of those that it sent
	// to servers with a limit. They are empty while no limit is known.
	Costs        map[string]Cost `cbor:"9,keyasint,omitempty"`
	LimitedCosts map[string]Cost `cbor:"10,keyasint,omitempty"`
	// Routers is the number of routers known to the sender, itself included; 0 where servers are never cold.
	Routers int `cbor:"11,keyasint,omitempty"`
	// delay is how long the report was delayed on its way.
	delay clock.Millis
}

// WithDelay returns the report with the time for which it was delayed.
func (r Report) WithDelay(delay clock.Millis) Report {
	r.delay = delay
	return r
}

// ServerKey stands for a server in reports. It is shorter than the server's id, of which it is a hash.
type ServerKey uint32

// KeyOf returns the key of the server with the given id.
func KeyOf(id string) ServerKey { return ServerKey(xxhash.Sum64String(id)) }

// Report returns the state to send to the peers.
func (c *Controller) Report(now clock.Millis) Report {
	out := Report{
		Servers: make(map[ServerKey]Load), Teams: c.ledger.Report(now), CapacityFactors: make(map[string]float64),
		Refused: c.refusals.updates(now),
	}
	for name, rates := range out.Teams {
		out.Teams[name] = rates.Rounded()
	}
	for _, s := range c.servers {
		if s.load.Running > 0 {
			out.Servers[s.key] = s.load
		}
	}
	if c.coldBounded() {
		c.membership.Reported(now)
		out.Routers = c.membership.Count(now)
	}
	if c.limits.Len() > 0 {
		out.Limits, out.Demand = c.limits.Report(now), make(map[string]float64)
		out.Costs, out.LimitedCosts = make(map[string]Cost), make(map[string]Cost)
		for service, d := range c.demands {
			out.Demand[service] = d.report(now, now-c.newsTime())
			out.Costs[service], out.LimitedCosts[service] = d.cost.sum(now), d.limitedCost.sum(now)
		}
	}
	for service, e := range c.capacities {
		if e.current(now) {
			out.CapacityFactors[service] = float64(float32(e.factor))
		}
	}
	return out
}

// Merge replaces the report of a peer.
func (c *Controller) Merge(now clock.Millis, peer string, r Report) {
	for _, f := range r.Refused {
		c.refusals.add(now, f)
	}
	for _, e := range r.Limits {
		c.limits.Merge(now, r.delay, e)
	}
	if c.coldBounded() {
		c.membership.Heard(now, peer, r.Routers)
	}
	c.peers.merge(now, peer, r)
	c.ledger.Merge(now, peer, r.Teams)
}
