package intake

import (
	"github.com/laburnumring/laburnumring/internal/fairshare"
	"github.com/laburnumring/laburnumring/pkg/clock"
)

// view is the fleet-wide state that all decisions at one moment use.
type view struct {
	// teams holds the teams' rates, fairRates the fair rate by service; infinite while capacity suffices for all.
	teams     map[string]fairshare.Rates
	fairRates map[string]float64
	// peerAge is the age of the oldest peer report in use.
	peerAge clock.Millis
	// polling is set while the decisions are on waiting requests.
	polling bool
}

func (c *Controller) view(now clock.Millis) *view {
	return &view{teams: c.ledger.Totals(now), fairRates: make(map[string]float64, 1), peerAge: c.peers.expire(now)}
}

// load returns the load of all routers on a server.
func (c *Controller) load(s *server) Load { return s.load.plus(c.peers.loads[s.key]) }
