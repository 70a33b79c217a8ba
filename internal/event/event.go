// Package event defines the log events of all processes and the logger that writes them.
package event

import (
	"io"

	"github.com/charmbracelet/log"

	"github.com/laburnumring/laburnumring/internal/invariant"
)

// Event is one kind of log line.
type Event struct {
	// id is unique and never reused for another event.
	id int
	// level is the severity at which the event is logged.
	level log.Level
	// message is the same in each line of the event; variable data is in the fields.
	message string
}

// ID returns the event's number.
func (e Event) ID() int { return e.id }

// Level returns the event's severity as a word.
func (e Event) Level() string { return e.level.String() }

// Message returns the event's fixed text.
func (e Event) Message() string { return e.message }

// Logger writes events. It is safe for concurrent use.
type Logger struct {
	l *log.Logger
}

// NewLogger returns a logger that writes to w and adds the process's role to each line. The format is "text", "logfmt"
// or "json"; any other value means "text".
func NewLogger(w io.Writer, format, role string) *Logger {
	l := log.NewWithOptions(w, log.Options{ReportTimestamp: true, TimeFormat: "2006-01-02T15:04:05.000Z07:00"})
	switch format {
	case "json":
		l.SetFormatter(log.JSONFormatter)
	case "logfmt":
		l.SetFormatter(log.LogfmtFormatter)
	default:
		l.SetFormatter(log.TextFormatter)
	}
	return &Logger{l: l.With("role", role)}
}

// Log writes e with fields, alternating keys in snake case and values.
func (l *Logger) Log(e Event, fields ...any) {
	l.l.Log(e.level, e.message, append([]any{"event", e.id}, fields...)...)
}

// Invariants returns a checker that logs each violation as InvariantBroken and calls count for it.
func (l *Logger) Invariants(count func()) invariant.Checker {
	return invariant.New(func(v invariant.ViolationError) {
		count()
		l.Log(InvariantBroken, "rule", v.Rule, "detail", v.Detail)
	})
}
