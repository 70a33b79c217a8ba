package intake

import (
	"math"

	"github.com/laburnumring/laburnumring/internal/fairshare"
	"github.com/laburnumring/laburnumring/pkg/clock"
)

// Report is what a router tells the others of its work.
type Report struct {
	// Servers is what the router has at each server, and Teams its teams' rates.
	Servers map[string]Load            `cbor:"1,keyasint"`
	Teams   map[string]fairshare.Rates `cbor:"2,keyasint"`
	// Supplies holds, by service, by how much the engines give more than the configured throughput.
	Supplies map[string]float64 `cbor:"3,keyasint"`
	// Refused holds the fingerprints of the requests that the router refused just now.
	Refused []uint64 `cbor:"4,keyasint"`
}

// Report returns what the other routers are to know.
func (c *Controller) Report(now clock.Millis) Report {
	out := Report{
		Servers: make(map[string]Load), Teams: c.ledger.Report(now), Supplies: make(map[string]float64),
		Refused: c.returns.news(now),
	}
	for id, s := range c.servers {
		if s.load.Running > 0 {
			out.Servers[id] = s.load
		}
	}
	for service, s := range c.supplies {
		if s.current(now) {
			out.Supplies[service] = s.factor
		}
	}
	return out
}

// Merge takes a peer's report in place of its former one.
func (c *Controller) Merge(now clock.Millis, peer string, r Report) {
	for _, f := range r.Refused {
		c.returns.learn(now, f)
	}
	c.peers.merge(now, peer, r)
	c.ledger.Merge(now, peer, r.Teams)
}

// view is what the decisions of one moment have in common.
type view struct {
	// teams holds the teams' rates, and levels the max-min share by service; infinite when there is enough for all.
	teams   map[string]fairshare.Rates
	levels  map[string]float64
	peerAge clock.Millis
}

func (c *Controller) view(now clock.Millis) *view {
	return &view{teams: c.ledger.Totals(now), levels: make(map[string]float64, 1), peerAge: c.peers.expire(now)}
}

// load returns all routers' load of a server.
func (c *Controller) load(s *server) Load { return s.load.plus(c.peers.loads[s.entry.ID]) }

// level returns the max-min share of a service's engines. What a team received while there was enough for all is
// held against it up to a little more than the share.
func (c *Controller) level(now clock.Millis, v *view, service string) float64 {
	if l, ok := v.levels[service]; ok {
		return l
	}
	l := math.Inf(1)
	if t := c.table.Limits().TokensPerSecond; t > 0 {
		l = fairshare.Level(c.factor(now, service)*t, v.teams)
	}
	if c.supply(service).scarcity.scarce(now, !math.IsInf(l, 1)) {
		c.ledger.Forgive(now, maxDebt*l, v.teams)
	}
	v.levels[service] = l
	return l
}

// maxDebt is the most that is held against a team from a time of plenty, as a part of its share.
const maxDebt = 1.3

func (c *Controller) supply(service string) *supply {
	s, ok := c.supplies[service]
	if !ok {
		s = &supply{}
		c.supplies[service] = s
	}
	return s
}
