package intake

import (
	"maps"
	"slices"

	"github.com/laburnumring/laburnumring"
	"github.com/laburnumring/laburnumring/internal/forecast"
	"github.com/laburnumring/laburnumring/internal/ratelimit"
	"github.com/laburnumring/laburnumring/pkg/clock"
)

// coldServer is what is known about the cold time of a server, whether or not it may get work.
type coldServer struct {
	entry laburnumring.ServerEntry
	// until is when the cold time of the newest entry ends here. reopenedAt is when the server's place was reopened; 0 if
	// it was not, or if an entry was written afterwards.
	until      clock.Millis
	reopenedAt clock.Millis
	// from is when this router may send the first request of the cold time.
	from clock.Millis
	// lastListed is when the server was last in the list. reported is whether it was last reported to be cold.
	lastListed clock.Millis
	reported   bool
}

const (
	// coldHold is how long a router sends nothing to a server that is known and turns cold: other routers learn of it up
	// to a second later and send without a limit until then, and what they sent is still on its way.
	coldHold = 1250 * clock.Millis(1)
	// maxColdDelay is the longest time between the decision on a request to a cold server and its send: what the window
	// of the quotas exceeds a second by.
	maxColdDelay = ratelimit.ColdWindow - clock.Second
	// maxViewAge is the age of the entries that a router takes for the newest. Entries read in this time after a place is
	// reopened may have been written before.
	maxViewAge = 2500 * clock.Millis(1)
	// coldTTL is how long the cold time of a server is remembered that has left the list.
	coldTTL = 1 * clock.Minute
)

// ColdChange is the beginning or the end of a server's cold time at this router.
type ColdChange struct {
	Server string
	Cold   bool
	// Left is how much longer the server is cold.
	Left clock.Millis
}

// UpdateCold takes the cold times from the platform's newest list of servers, whether or not these may get work. It must
// precede the call of SetServers with servers of the list. Each cold time counts from when its entry is first seen here,
// which is later than the server wrote it: a server counts as cold somewhat too long rather than too short.
func (c *Controller) UpdateCold(now clock.Millis, entries []laburnumring.ServerEntry) {
	for _, e := range entries {
		s, known := c.colds[e.ID]
		renewed := known && !s.entry.SameIncarnation(e)
		if !known || renewed {
			s = &coldServer{from: now}
			c.colds[e.ID] = s
		}
		was := c.coldUntil(s) > now
		if !known || renewed || s.entry.Written != e.Written || s.entry.ColdLeft != e.ColdLeft {
			s.until = now + e.ColdLeft
			if now-s.reopenedAt >= maxViewAge {
				s.reopenedAt = 0
			}
		}
		s.entry, s.lastListed = e, now
		if !known {
			s.reopenedAt = c.reopened[e.Place]
		}
		if known && !renewed && !was && c.coldUntil(s) > now {
			s.from = now + coldHold
		}
		c.applyCold(now, s)
	}
	c.now = max(c.now, now)
	maps.DeleteFunc(c.colds, func(id string, s *coldServer) bool {
		return now-s.lastListed > coldTTL && c.servers[id] == nil
	})
}

// PlaceReopened makes all servers of a place count as cold for the cold time of their service, or until an entry that a
// server writes afterwards says otherwise.
func (c *Controller) PlaceReopened(now clock.Millis, place string) {
	c.reopened[place], c.now = now, max(c.now, now)
	for _, s := range c.colds {
		if s.entry.Place != place {
			continue
		}
		if c.coldUntil(s) <= now {
			// No router has sent anything there while the place was closed.
			s.from = now
		}
		s.reopenedAt = now
		c.applyCold(now, s)
	}
}

// coldUntil returns when a server's cold time ends.
func (c *Controller) coldUntil(s *coldServer) clock.Millis {
	if s.reopenedAt == 0 {
		return s.until
	}
	return max(s.until, s.reopenedAt+c.coldTime(s.entry.Service))
}

// coldTime returns how long the servers of a service are cold; 0 if they never are.
func (c *Controller) coldTime(service string) clock.Millis {
	if c.table == nil || !c.coldBounded() {
		return 0
	}
	if svc, _ := c.table.Service(service); svc.HasColdServers() {
		return svc.ColdTime
	}
	return 0
}

func (c *Controller) coldBounded() bool { return c.o.ColdOverage > 0 }

// applyCold sets or ends the limit of a server by what is known of its cold time.
func (c *Controller) applyCold(now clock.Millis, s *coldServer) {
	key := uint32(KeyOf(s.entry.ID))
	if c.coldTime(s.entry.Service) == 0 || c.coldUntil(s) <= now {
		c.limits.EndCold(key)
		return
	}
	svc, _ := c.table.Service(s.entry.Service)
	c.limits.SetCold(now, key, ratelimit.Cold{
		PerSecond: svc.ColdPerSecond, Bound: svc.ColdPerSecond*c.o.ColdOverage + c.o.ColdSlack, From: s.from, Until: c.coldUntil(s),
	})
}

// restoreCold sets the limits of all cold servers again, after a change of the configuration or of the servers.
func (c *Controller) restoreCold() {
	for _, s := range c.colds {
		c.applyCold(c.now, s)
	}
}

// cold reports whether a server is cold.
func (c *Controller) cold(now clock.Millis, s *server) bool { return c.limits.Cold(now, uint32(s.key)) }

// ColdSendLate reports whether a request must not be sent any more although it was assigned to a server: the server is
// cold, and the decision is too old for the quotas or was made before that was known.
func (c *Controller) ColdSendLate(now clock.Millis, request int64) bool {
	a, ok := c.attempts[request]
	if !ok || !c.limits.Cold(now, uint32(KeyOf(a.server))) {
		return false
	}
	return !a.cold || now-a.sentAt > maxColdDelay
}

// ColdServers returns the number of listed servers that are cold.
func (c *Controller) ColdServers(now clock.Millis) int {
	n := 0
	for _, pool := range c.pools {
		for _, s := range pool {
			if c.cold(now, s) {
				n++
			}
		}
	}
	return n
}

// ColdChanges returns the cold times that have begun or ended since the last call, by the servers' ids.
func (c *Controller) ColdChanges(now clock.Millis) []ColdChange {
	var out []ColdChange
	for _, id := range slices.Sorted(maps.Keys(c.colds)) {
		s := c.colds[id]
		if cold := c.limits.Cold(now, uint32(KeyOf(id))); cold != s.reported {
			s.reported = cold
			out = append(out, ColdChange{Server: id, Cold: cold, Left: max(0, c.coldUntil(s)-now)})
		}
	}
	return out
}

// coldFactor returns the factor of the predicted time to the first event at a server: cold ones are slower.
func (c *Controller) coldFactor(now clock.Millis, s *server) float64 {
	if f, ok := c.coldTimes[s.entry.Service]; ok && c.cold(now, s) {
		return f.Factor()
	}
	return 1
}

// coldPenalty returns what is added to the score of a cold engine, in milliseconds, for a request whose shared parts it
// neither holds nor is the primary server of: its few requests are for those.
func (c *Controller) coldPenalty(now clock.Millis, s *server, r Request, primary bool, reread int64) float64 {
	if primary || reread == 0 && len(r.Parts) > 1 || !c.cold(now, s) {
		return 0
	}
	return onTimeFraction * float64(r.Goal)
}

// observeStart records the time to the first event of an attempt. That at a cold server says nothing about the later
// speed of the server, nor about the service's warm ones.
func (c *Controller) observeStart(now clock.Millis, a *attempt) {
	f := c.forecast(a.r.Service)
	if !a.cold {
		f.Observe(a.server, a.tokensToRead, now-a.sentAt)
		return
	}
	e, ok := c.coldTimes[a.r.Service]
	if !ok {
		e = &forecast.Cold{}
		c.coldTimes[a.r.Service] = e
	}
	e.Observe(f.Predict(a.server, a.tokensToRead), now-a.sentAt)
}
