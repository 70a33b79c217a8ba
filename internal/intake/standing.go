package intake

import (
	"math"

	"github.com/laburnumring/laburnumring/pkg/clock"
)

const (
	// floorShare is the part of its share, or of what comes if that is less, below which neither a router's own trouble nor
	// what the team received seconds ago keeps its requests back: the users' rule compares teams by the second, and half of
	// what the best one got is the least.
	floorShare = 0.8
	// peakShare is the part of its share over which a team that asks for more is held back, though it received less over a
	// longer time: what one team gets in a second the others are owed beside it.
	peakShare = 1.25
	// hurryShare is the part of its share below which a team that is behind gets late requests served before those of
	// others that can be on time.
	hurryShare = 0.6
)

// standing is how a team stands towards its share.
type standing struct {
	// recent is what the team received over a short time, in tokens per second, as far as this router can tell.
	recent float64
	// behind says that the team got less than the floor just now, ahead that it got more than its share.
	behind bool
	ahead  bool
	// hurry says that it is behind for longer, so that its requests are sent though they will be late.
	hurry bool
}

// standing returns how a team stands towards its share level. Limit is the part of it up to which the request is served.
func (c *Controller) standing(now clock.Millis, v *view, team string, level, limit float64) standing {
	told := v.teams[team]
	recent := told.Recent
	over := told.Served > limit
	if part, own := c.ledger.Part(now, team); part > 0 && (over || recent >= floorShare*level) {
		// Reports are older than what many routers together may send meanwhile, so that each takes the others to give as
		// much of what comes to them as it gave itself.
		recent = max(recent, own.Recent/part)
	}
	s := standing{recent: recent, behind: recent < floorShare*min(level, told.Came)}
	s.hurry = s.behind && !math.IsInf(level, 1) && told.Served < hurryShare*level
	s.ahead = !s.behind && (over || told.Asked > level && recent > peakShare*level)
	return s
}
