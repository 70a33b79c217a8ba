// Package publication puts a configuration on the platform's log and finds out whether it was accepted.
package publication

import (
	"github.com/laburnumring/laburnumring/internal/board"
	"github.com/laburnumring/laburnumring/internal/configuration"
	"github.com/laburnumring/laburnumring/pkg/clock"
)

// Current is the From of Options that stands for the version in force when the log is first read.
const Current int64 = -1

// Options are the settings of a Publication.
type Options struct {
	// ID is unique to the publication and the same in all its appends.
	ID string
	// From is the version that the change was made from, or Current.
	From int64
	// Text is the whole configuration as YAML; it has been checked.
	Text string
	// Restore is the version to put in force on a log that has lost its state; 0 for a change.
	Restore int64
	// StartWindow is that of the publication's reader.
	StartWindow int64
}

// Publication decides on the appends of one change and on its outcome. It is used by one goroutine at a time.
type Publication struct {
	o Options
	c *configuration.Controller
	// begun says that Begin was called.
	begun bool
	// appended says that the record was handed to the log at least once, so that it may be accepted.
	appended bool
	// done says that the outcome is decided; it never changes afterwards.
	done bool
	// version is the version that the change made; 0 unless accepted.
	version int64
	// err is why the change was not accepted.
	err error
}

// New returns a publication that has read nothing.
func New(o Options) *Publication {
	return &Publication{o: o, c: configuration.New(configuration.Options{
		Board:       board.New(),
		StartWindow: o.StartWindow,
		Random:      func() float64 { return 0 },
	})}
}

// Next returns the offset to read from.
func (p *Publication) Next() int64 { return p.c.Next() }

// Begin lets the publication start near the end of a stream with the given bounds.
func (p *Publication) Begin(first, next int64) {
	p.begun = true
	p.c.Begin(first, next)
}

// CaughtUp reports whether the stream was read to its end.
func (p *Publication) CaughtUp() bool { return p.c.CaughtUp() }

// Take takes a batch that was read from Next.
func (p *Publication) Take(now clock.Millis, b configuration.Batch) {
	for _, d := range p.c.Take(now, b) {
		p.decided(d)
	}
	p.judge()
}

// Append returns the record to append now. It reports false when the outcome is decided, or cannot be
// influenced before more of the log is read.
func (p *Publication) Append() (configuration.Record, bool) {
	if p.done || !p.CaughtUp() {
		return configuration.Record{}, false
	}
	if p.o.Restore > 0 {
		p.appended = true
		return configuration.Record{
			Type: configuration.Restore, ID: p.o.ID, Version: p.o.Restore, Text: p.o.Text,
		}, true
	}
	if !p.c.Following() {
		return configuration.Record{}, false
	}
	p.appended = true
	return configuration.Record{
		Type: configuration.Change, ID: p.o.ID, From: p.o.From, Version: p.o.From + 1, Text: p.o.Text,
	}, true
}

// Result reports whether the outcome is decided, and the version that was made or the reason why none was.
func (p *Publication) Result() (version int64, done bool, err error) {
	return p.version, p.done, p.err
}

// GiveUp returns what is known when cause keeps the log from being read any further.
func (p *Publication) GiveUp(cause error) error {
	switch {
	case p.done:
		return p.err
	case p.appended:
		return &UndecidedError{ID: p.o.ID, From: p.o.From, Err: cause}
	case p.CaughtUp() && !p.c.Following():
		return &HistoryLostError{First: p.c.Next()}
	default:
		return &NotPublishedError{Err: cause}
	}
}

// decided uses a decision on one record of the stream.
func (p *Publication) decided(d configuration.Decision) {
	switch {
	case p.done:
	case d.Verdict == configuration.Invalid && d.ID == p.o.ID:
		p.done = true
		p.err = d.Err
	case d.Verdict == configuration.Accepted && d.ID == p.o.ID:
		p.accept(d.Version)
	case d.Verdict == configuration.Accepted && p.o.Restore == 0 && d.Version == p.o.From+1:
		p.lose(d.Version)
	case d.Verdict == configuration.Superseded && p.o.Restore > 0 && d.ID == p.o.ID:
		p.lose(p.c.State().Version)
	}
}

// judge compares the state with what the publication is for.
func (p *Publication) judge() {
	if p.done || !p.CaughtUp() {
		return
	}
	if p.o.Restore > 0 {
		p.judgeRestore()
		return
	}
	if !p.c.Following() {
		return
	}
	s := p.c.State()
	if p.o.From == Current {
		p.o.From = s.Version
	}
	switch {
	case s.Version == p.o.From:
	case s.Version == p.o.From+1 && s.ID == p.o.ID:
		p.accept(s.Version)
	case s.Version == p.o.From+1 || !p.appended:
		p.lose(s.Version)
	default:
		p.done = true
		p.err = &UndecidedError{ID: p.o.ID, From: p.o.From, Err: &OvertakenError{Current: s.Version}}
	}
}

// judgeRestore refuses a restore where a change is possible.
func (p *Publication) judgeRestore() {
	if p.appended || !p.c.Following() {
		return
	}
	p.done = true
	p.err = &HistoryKnownError{Version: p.c.State().Version}
}

func (p *Publication) accept(version int64) {
	p.done = true
	p.version = version
}

func (p *Publication) lose(current int64) {
	p.done = true
	p.err = &LostRaceError{From: p.o.From, Current: max(current, p.c.State().Version)}
}
