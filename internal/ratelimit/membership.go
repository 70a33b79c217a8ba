package ratelimit

import (
	"maps"

	"github.com/laburnumring/laburnumring/pkg/clock"
)

// Membership knows the routers of the fleet from their reports. It remembers those that are not heard any more, because
// they may be cut off and still send.
type Membership struct {
	// alone is set if the router was started without the address of any other.
	alone bool
	// startedAt is when the first report to the others was sent; 0 before.
	startedAt clock.Millis
	heard     map[string]heardRouter
	// everHeard is set once another router has been heard.
	everHeard bool
}

type heardRouter struct {
	at clock.Millis
	// count is the number of routers that it knew of, itself included.
	count int
}

const (
	// memberTTL is how long a router counts that is not heard any more. It covers the cuts between data centres that
	// are ended within a minute; a vanished router costs its part of the limits of cold servers for as long.
	memberTTL = 1 * clock.Minute
	// countTTL is how long the count in a report is used.
	countTTL = 3 * clock.Second
	// joinTime is how long after its first report a router sends nothing to cold servers: the others must count with
	// it, and it must know them. That takes some rounds of reports, which come every 0.1 to 0.3 s.
	joinTime = 2 * clock.Second
)

// NewMembership returns a membership without other routers. alone is set if the router knows the address of no other.
func NewMembership(alone bool) *Membership {
	return &Membership{alone: alone, heard: make(map[string]heardRouter)}
}

// Reported records that a report was sent to the other routers.
func (m *Membership) Reported(now clock.Millis) {
	if m.startedAt == 0 {
		m.startedAt = now
	}
}

// Heard records a report of another router that knows of count routers; 0 if it does not say that.
func (m *Membership) Heard(now clock.Millis, name string, count int) {
	m.heard[name], m.everHeard = heardRouter{at: now, count: count}, true
}

// Count returns the number of routers known by their own reports, this one included.
func (m *Membership) Count(now clock.Millis) int {
	maps.DeleteFunc(m.heard, func(_ string, h heardRouter) bool { return now-h.at > memberTTL })
	return 1 + len(m.heard)
}

// Fleet returns the routers among which the requests to a cold server are divided. A router that has heard no other
// although there are some is not eligible: it cannot tell how many there are.
func (m *Membership) Fleet(now clock.Millis) Fleet {
	f := Fleet{Count: m.Count(now), Names: make([]string, 0, len(m.heard))}
	for name, h := range m.heard {
		f.Names = append(f.Names, name)
		if now-h.at <= countTTL {
			f.Count = max(f.Count, h.count)
		}
	}
	f.Eligible = m.startedAt > 0 && now-m.startedAt >= joinTime && (m.alone || m.everHeard)
	return f
}
