package configuration

import "github.com/laburnumring/laburnumring/pkg/clock"

// schedule determines when a reader appends a snapshot. Random delays keep readers from all appending one at once.
type schedule struct {
	o Options
	// recoverableFrom is the largest offset from which a reader of the log can still determine the state; -1 without
	// one.
	recoverableFrom int64
	// stateLost is set while the log no longer retains the records from recoverableFrom on.
	stateLost bool
	// due is when the next snapshot is appended. scheduled is set once due has a value.
	due       clock.Millis
	scheduled bool
}

// spread returns the time over which readers spread their snapshots when the log has lost the state.
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

// snapshotRead records that a snapshot or restore was read at now, which lets readers start at offset through.
func (s *schedule) snapshotRead(now clock.Millis, through int64) {
	s.recoverableFrom = max(s.recoverableFrom, through)
	s.scheduled = true
	s.due = now + s.o.SnapshotInterval + s.randomFraction(s.o.SnapshotInterval)
	s.stateLost = false
}

// logRead records the oldest offset that the log retains.
func (s *schedule) logRead(now clock.Millis, first int64) {
	if first == 0 {
		s.recoverableFrom = max(s.recoverableFrom, 0)
	}
	if !s.scheduled {
		s.scheduled = true
		s.due = now + s.randomFraction(s.o.SnapshotInterval)
	}
	if first > s.recoverableFrom && !s.stateLost {
		s.stateLost = true
		s.due = min(s.due, now+s.randomFraction(s.spread()))
	}
}

// randomFraction returns a random fraction of m.
func (s *schedule) randomFraction(m clock.Millis) clock.Millis {
	return clock.Millis(s.o.Random() * float64(m))
}

// SnapshotDue reports whether this reader should append a snapshot now. It must be called after a read to the end of
// the log, which shows that no other process has appended one.
func (c *Controller) SnapshotDue(now clock.Millis) bool {
	return c.following && c.CaughtUp() && c.state.Through > 0 && now >= c.snapshots.due
}

// Snapshot returns the snapshot to append, and postpones the next one until this one can have been read back.
func (c *Controller) Snapshot(now clock.Millis) Record {
	c.snapshots.due = now + c.snapshots.spread() + c.snapshots.randomFraction(c.snapshots.spread())
	return Record{
		Type: Snapshot, ID: c.state.ID, Version: c.state.Version,
		Through: c.state.Through, Text: c.state.Text,
	}
}
