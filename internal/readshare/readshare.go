// Package readshare divides the reads of one thing on the platform among routers: a few read it, the others learn from
// them what changed, and read themselves when the readers fall silent.
package readshare

import "github.com/laburnumring/laburnumring/pkg/clock"

// Options are the settings of a Share.
type Options struct {
	// Readers is how many routers read in any case.
	Readers int
	// Interval is the time between two reads of a reader.
	Interval clock.Millis
	// Retry is the time between two reads while they fail.
	Retry clock.Millis
	// MaxAge is the age of what is known from others from which on a router reads itself. Stagger is added for each
	// router that is before it, so that not all begin at once.
	MaxAge  clock.Millis
	Stagger clock.Millis
}

// maxStaggered bounds the routers that are waited for one after the other.
const maxStaggered = 3

// Share knows when what is held was last confirmed. It is used by one goroutine at a time.
type Share struct {
	o Options
	// own is when the last own read succeeded and tried when one began; heard is the latest moment for which a router has
	// confirmed what is held by a read of its own, relayed by what it heard. All are 0 before.
	own     clock.Millis
	tried   clock.Millis
	heard   clock.Millis
	relayed clock.Millis
	// failing says that the last own read failed.
	failing bool
	// rank is how many routers are before this one.
	rank int
}

// New returns a share that has read nothing.
func New(o Options) *Share { return &Share{o: o} }

// Rank sets how many routers are before this one.
func (s *Share) Rank(n int) { s.rank = n }

// Tried records that an own read begins.
func (s *Share) Tried(now clock.Millis) { s.tried = now }

// Read records that an own read that began at the given time succeeded.
func (s *Share) Read(began clock.Millis) {
	s.own = max(s.own, began)
	s.failing = false
}

// Failed records that an own read failed.
func (s *Share) Failed() { s.failing = true }

// Age returns how long ago an own read last succeeded; false when none has.
func (s *Share) Age(now clock.Millis) (clock.Millis, bool) { return now - s.own, s.own > 0 }

// Confirmed records that another router read the same, the given time ago.
func (s *Share) Confirmed(now, age clock.Millis) { s.heard = max(s.heard, now-age) }

// HeardAge returns how long ago another router last read the same, by its own word; false when none has. Only that may
// be told on: each teller makes the age younger by the time of the way, which must not add up.
func (s *Share) HeardAge(now clock.Millis) (clock.Millis, bool) { return now - s.heard, s.heard > 0 }

// Relayed records that another router has heard that the same was read, the given time ago.
func (s *Share) Relayed(now, age clock.Millis) { s.relayed = max(s.relayed, now-age) }

// Newest returns the latest moment for which what is held is known to be the newest; 0 when there is none.
func (s *Share) Newest() clock.Millis { return max(s.own, s.heard, s.relayed) }

// Wait returns how long not to read; 0 when it is time.
func (s *Share) Wait(now clock.Millis) clock.Millis {
	pause := s.o.Stagger
	if s.failing {
		pause = s.o.Retry
	}
	switch {
	case s.Newest() == 0:
		return max(0, s.tried+pause-now)
	case s.rank < s.o.Readers && !s.failing:
		return max(0, s.tried+s.o.Interval-now)
	case s.rank < s.o.Readers:
		return max(0, s.tried+pause-now)
	}
	due := s.Newest() + s.o.MaxAge + clock.Millis(min(s.rank-s.o.Readers, maxStaggered))*s.o.Stagger
	return max(0, due-now, s.tried+pause-now)
}
