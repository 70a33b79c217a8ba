package configuration

import "fmt"

// BadRecordError reports a record that every reader ignores.
type BadRecordError struct {
	// Offset is the record's position in the stream.
	Offset int64
	// ID is the record's id; empty when it cannot be read.
	ID string
	// Problem describes what is wrong.
	Problem string
}

// Error implements error.
func (e *BadRecordError) Error() string {
	return fmt.Sprintf("configuration record %q at offset %d: %s", e.ID, e.Offset, e.Problem)
}

// ConflictError reports two states that cannot both come from one stream.
type ConflictError struct {
	// Held and Got are the versions of the current and the received state, HeldID and GotID the ids of their
	// publications.
	Held   int64
	Got    int64
	HeldID string
	GotID  string
	// HeldThrough and GotThrough are the offsets of the two states.
	HeldThrough int64
	GotThrough  int64
}

// Error implements error.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("configuration state version %d (%s) at offset %d contradicts version %d (%s) at offset %d",
		e.Got, e.GotID, e.GotThrough, e.Held, e.HeldID, e.HeldThrough)
}
