package configuration

import "github.com/laburnumring/laburnumring/pkg/clock"

// schedule decides when a reader appends a snapshot. Random delays keep readers from all doing so at once.
type schedule struct {
	o Options
	// carrier is the smallest offset from which a reader of the log learns the state; -1 without one.
	carrier int64
	// lost says that the log no longer keeps the carrier.
	lost bool
	// due is when the next snapshot is appended; armed says that it is set.
	due   clock.Millis
	armed bool
}

// spread is the time over which readers spread snapshots that are missing.
func (s *schedule) spread() clock.Millis {
	if s.o.SnapshotSpread > 0 {
		return s.o.SnapshotSpread
	}
	site := s.o.Board.Site()
	if site == nil {
		return minSnapshotSpread
	}
	return min(maxSnapshotSpread, max(minSnapshotSpread, clock.Millis(site.ServerCount())*spreadPerServer))
}

// seen records a snapshot, read at now, that lets readers begin at offset carrier.
func (s *schedule) seen(now clock.Millis, carrier int64) {
	s.carrier = max(s.carrier, carrier)
	s.armed = true
	s.due = now + s.o.SnapshotInterval + s.part(s.o.SnapshotInterval)
	s.lost = false
}

// observe records the oldest offset that the log keeps.
func (s *schedule) observe(now clock.Millis, first int64) {
	if first == 0 {
		s.carrier = max(s.carrier, 0)
	}
	if !s.armed {
		s.armed = true
		s.due = now + s.part(s.o.SnapshotInterval)
	}
	if first > s.carrier && !s.lost {
		s.lost = true
		s.due = min(s.due, now+s.part(s.spread()))
	}
}

// part returns a random part of m.
func (s *schedule) part(m clock.Millis) clock.Millis {
	return clock.Millis(s.o.Random() * float64(m))
}

// SnapshotDue reports whether this reader should append a snapshot now. It is asked after a read to the end of
// the log, which shows that nobody else has appended one.
func (c *Controller) SnapshotDue(now clock.Millis) bool {
	return c.following && c.CaughtUp() && c.state.Through > 0 && now >= c.snapshots.due
}

// Snapshot returns the snapshot to append and puts the next one off until it can have been read back.
func (c *Controller) Snapshot(now clock.Millis) Record {
	c.snapshots.due = now + c.snapshots.spread() + c.snapshots.part(c.snapshots.spread())
	return Record{
		Type: Snapshot, ID: c.state.ID, Version: c.state.Version,
		Through: c.state.Through, Text: c.state.Text,
	}
}
