package intake

import (
	"maps"
	"math"
	"slices"

	"github.com/laburnumring/laburnumring/pkg/clock"
)

// Pause records that a server wants no requests from this router until the given time. Its later incarnations under the
// same id get none either.
func (c *Controller) Pause(id string, until clock.Millis) { c.pauses[id] = max(c.pauses[id], until) }

// PrunePauses forgets the pauses that have ended.
func (c *Controller) PrunePauses(now clock.Millis) {
	maps.DeleteFunc(c.pauses, func(_ string, until clock.Millis) bool { return until <= now })
}

// available reports whether a server may get a request that it has not had yet.
func (c *Controller) available(now clock.Millis, s *server, r Request) bool {
	return now >= s.blockedUntil && !slices.Contains(r.Tried, s.entry.ID) && (len(c.pauses) == 0 || now >= c.pauses[s.entry.ID])
}

// poolPause returns the time until the first server of a pool accepts requests again if all have asked for a pause; 0 if
// one accepts them now.
func (c *Controller) poolPause(now clock.Millis, pool []*server) clock.Millis {
	if len(c.pauses) < len(pool) {
		return 0
	}
	shortest := clock.Millis(math.MaxInt64)
	for _, s := range pool {
		shortest = min(shortest, max(0, c.pauses[s.entry.ID]-now))
	}
	return shortest
}
