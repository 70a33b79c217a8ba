// Package publication appends a configuration to the platform's log and finds out whether it was accepted.
//
// A Publication holds the decisions for one change and does no I/O. A Publisher reads and appends for it.
package publication

import (
	"github.com/laburnumring/laburnumring/internal/board"
	"github.com/laburnumring/laburnumring/internal/configuration"
	"github.com/laburnumring/laburnumring/pkg/clock"
)

// Current is the value of Options.From for the version that is in force when the log is first read to its end.
const Current int64 = -1

// Options are the settings of a Publication.
type Options struct {
	// ID is unique to the publication and the same in all its appends.
	ID string
	// From is the version that the change was made from, or Current.
	From int64
	// Text is the complete configuration as YAML. The caller has validated it.
	Text string
	// Restore is the version to put in force on a log that has lost its state; 0 for a change.
	Restore int64
	// StartWindow is the StartWindow of the configuration reader.
	StartWindow int64
}

// Publication decides what one change appends and determines its outcome. It is not safe for concurrent use.
type Publication struct {
	o      Options
	reader *configuration.Controller
	// started is set once StartNearEnd was called.
	started bool
	// appended is set once the record was returned for an append, after which it may be accepted.
	appended bool
	// done is set once the outcome is decided, which then never changes.
	done bool
	// version is the version that the change created; 0 unless accepted.
	version int64
	// err is the reason for which the change was not accepted.
	err error
}

// New returns a publication for a log that has not been read yet.
func New(o Options) *Publication {
	return &Publication{o: o, reader: configuration.New(configuration.Options{
		Board:       board.New(),
		StartWindow: o.StartWindow,
		Random:      func() float64 { return 0 },
	})}
}

// Next returns the offset to read from.
func (p *Publication) Next() int64 { return p.reader.Next() }

// StartNearEnd starts reading near the end of a stream that holds the offsets from first to before next.
func (p *Publication) StartNearEnd(first, next int64) {
	p.started = true
	p.reader.StartNearEnd(first, next)
}

// CaughtUp reports whether the stream was read to its end.
func (p *Publication) CaughtUp() bool { return p.reader.CaughtUp() }

// Apply applies a batch that was read from Next.
func (p *Publication) Apply(now clock.Millis, b configuration.Batch) {
	for _, d := range p.reader.Apply(now, b) {
		p.applyDecision(d)
	}
	p.evaluate()
}

// RecordToAppend returns the record to append now. It reports false when the outcome is decided, or when more of the
// log has to be read before an append makes sense.
func (p *Publication) RecordToAppend() (configuration.Record, bool) {
	if p.done || !p.CaughtUp() {
		return configuration.Record{}, false
	}
	if p.o.Restore > 0 {
		p.appended = true
		return configuration.Record{
			Type: configuration.Restore, ID: p.o.ID, Version: p.o.Restore, Text: p.o.Text,
		}, true
	}
	if !p.reader.Following() {
		return configuration.Record{}, false
	}
	p.appended = true
	return configuration.Record{
		Type: configuration.Change, ID: p.o.ID, From: p.o.From, Version: p.o.From + 1, Text: p.o.Text,
	}, true
}

// Result reports whether the outcome is decided, and returns the version that was created or the reason for which
// none was.
func (p *Publication) Result() (version int64, done bool, err error) {
	return p.version, p.done, p.err
}

// GiveUp returns what is known of the outcome when cause keeps the log from being read any further.
func (p *Publication) GiveUp(cause error) error {
	switch {
	case p.done:
		return p.err
	case p.appended:
		return &UndecidedError{ID: p.o.ID, From: p.o.From, Err: cause}
	case p.CaughtUp() && !p.reader.Following():
		return &HistoryLostError{First: p.reader.Next()}
	default:
		return &NotPublishedError{Err: cause}
	}
}

// applyDecision updates the outcome by the reader's decision on one record.
func (p *Publication) applyDecision(d configuration.Decision) {
	switch {
	case p.done:
	case d.Verdict == configuration.Invalid && d.ID == p.o.ID:
		p.done = true
		p.err = d.Err
	case d.Verdict == configuration.Accepted && d.ID == p.o.ID:
		p.accept(d.Version)
	case d.Verdict == configuration.Accepted && p.o.Restore == 0 && d.Version == p.o.From+1:
		p.reject(d.Version)
	case d.Verdict == configuration.Superseded && p.o.Restore > 0 && d.ID == p.o.ID:
		p.reject(p.reader.State().Version)
	}
}

// evaluate updates the outcome by the state at the end of the stream.
func (p *Publication) evaluate() {
	if p.done || !p.CaughtUp() {
		return
	}
	if p.o.Restore > 0 {
		p.rejectNeedlessRestore()
		return
	}
	if !p.reader.Following() {
		return
	}
	s := p.reader.State()
	if p.o.From == Current {
		p.o.From = s.Version
	}
	switch {
	case s.Version == p.o.From:
	case s.Version == p.o.From+1 && s.ID == p.o.ID:
		p.accept(s.Version)
	case s.Version == p.o.From+1 || !p.appended:
		p.reject(s.Version)
	default:
		p.done = true
		p.err = &UndecidedError{ID: p.o.ID, From: p.o.From, Err: &RecordsRemovedError{Current: s.Version}}
	}
}

// rejectNeedlessRestore rejects a restore when the state is known, so that a change is possible.
func (p *Publication) rejectNeedlessRestore() {
	if p.appended || !p.reader.Following() {
		return
	}
	p.done = true
	p.err = &HistoryKnownError{Version: p.reader.State().Version}
}

func (p *Publication) accept(version int64) {
	p.done = true
	p.version = version
}

func (p *Publication) reject(current int64) {
	p.done = true
	p.err = &LostRaceError{From: p.o.From, Current: max(current, p.reader.State().Version)}
}
