// Package readshare divides the reads of one object on the platform among routers: a few read it, and the others learn
// from them what changed. They read it themselves when the readers fall silent.
package readshare

import "github.com/laburnumring/laburnumring/pkg/clock"

// Options are the settings of a Schedule.
type Options struct {
	// Readers is the number of routers that read regularly.
	Readers int
	// Interval is the time between two reads by one of them.
	Interval clock.Millis
	// Retry is the time between two reads while they fail.
	Retry clock.Millis
	// MaxAge is the age of the latest confirmation from which on another router reads as well. Stagger is added for
	// each router that ranks before it, so that they do not all start at once.
	MaxAge  clock.Millis
	Stagger clock.Millis
}

// maxStaggered limits how many times Stagger is added.
const maxStaggered = 3

// Schedule decides when one router reads, by when its copy was last confirmed to be the newest. It is not safe for
// concurrent use.
type Schedule struct {
	o Options
	// lastRead is when the last successful read by this router started, and lastTry when its last read started.
	// lastReceived is the latest time for which another router has confirmed the copy by a read of its own, lastRelayed
	// by what it received itself. All are 0 before the first time.
	lastRead     clock.Millis
	lastTry      clock.Millis
	lastReceived clock.Millis
	lastRelayed  clock.Millis
	// failing is set while this router's last read failed.
	failing bool
	// rank is the number of routers that rank before this one.
	rank int
}

// New returns a schedule without reads.
func New(o Options) *Schedule { return &Schedule{o: o} }

// SetRank sets the number of routers that rank before this one.
func (s *Schedule) SetRank(n int) { s.rank = n }

// Started records that a read by this router starts.
func (s *Schedule) Started(now clock.Millis) { s.lastTry = now }

// Succeeded records that a read by this router, which started at the given time, succeeded.
func (s *Schedule) Succeeded(startedAt clock.Millis) {
	s.lastRead = max(s.lastRead, startedAt)
	s.failing = false
}

// Failed records that a read by this router failed.
func (s *Schedule) Failed() { s.failing = true }

// Age returns the time since the last successful read by this router, or false if there was none.
func (s *Schedule) Age(now clock.Millis) (clock.Millis, bool) {
	return now - s.lastRead, s.lastRead > 0
}

// Confirmed records that another router read the same content the given time ago.
func (s *Schedule) Confirmed(now, age clock.Millis) { s.lastReceived = max(s.lastReceived, now-age) }

// ReceivedAge returns the time since another router last read the same content, as reported by that router, or false if
// none has. Only this age may be relayed: each hop makes it appear younger by its transmission time, which must not
// accumulate.
func (s *Schedule) ReceivedAge(now clock.Millis) (clock.Millis, bool) {
	return now - s.lastReceived, s.lastReceived > 0
}

// Relayed records that another router received the report of such a read, which was made the given time ago.
func (s *Schedule) Relayed(now, age clock.Millis) { s.lastRelayed = max(s.lastRelayed, now-age) }

// NewestAt returns the latest time at which the copy is known to have been the newest; 0 if unknown.
func (s *Schedule) NewestAt() clock.Millis { return max(s.lastRead, s.lastReceived, s.lastRelayed) }

// Wait returns the time until this router should read; 0 if it is due.
func (s *Schedule) Wait(now clock.Millis) clock.Millis {
	pause := s.o.Stagger
	if s.failing {
		pause = s.o.Retry
	}
	switch {
	case s.NewestAt() == 0:
		return max(0, s.lastTry+pause-now)
	case s.rank < s.o.Readers && !s.failing:
		return max(0, s.lastTry+s.o.Interval-now)
	case s.rank < s.o.Readers:
		return max(0, s.lastTry+pause-now)
	}
	due := s.NewestAt() + s.o.MaxAge + clock.Millis(min(s.rank-s.o.Readers, maxStaggered))*s.o.Stagger
	return max(0, due-now, s.lastTry+pause-now)
}
