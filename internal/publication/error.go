package publication

import "fmt"

// LostRaceError reports a change that was rejected because another change from the same version came first. Nothing
// was changed.
type LostRaceError struct {
	// From is the version that the change was made from.
	From int64
	// Current is the version in force.
	Current int64
}

// Error implements error.
func (e *LostRaceError) Error() string {
	return fmt.Sprintf("the change was made from version %d, but version %d is in force; nothing was changed",
		e.From, e.Current)
}

// UndecidedError reports a change for which it is unknown whether it was accepted.
type UndecidedError struct {
	// ID is the publication's id.
	ID string
	// From is the version that the change was made from; negative when the log was never read.
	From int64
	// Err is what kept the log from being read.
	Err error
}

// Error implements error.
func (e *UndecidedError) Error() string {
	return fmt.Sprintf("publication %s is undecided: it may be in force or come into force; check with config show before publishing again: %v",
		e.ID, e.Err)
}

// Unwrap returns what kept the log from being read.
func (e *UndecidedError) Unwrap() error { return e.Err }

// NotPublishedError reports a change that was never sent to the log.
type NotPublishedError struct {
	// Err is what kept the log from being read.
	Err error
}

// Error implements error.
func (e *NotPublishedError) Error() string {
	return fmt.Sprintf("nothing was published: %v", e.Err)
}

// Unwrap returns what kept the log from being read.
func (e *NotPublishedError) Unwrap() error { return e.Err }

// HistoryLostError reports a log that retains neither the version in force nor a snapshot of it.
type HistoryLostError struct {
	// First is the oldest offset that could be read from the log.
	First int64
}

// Error implements error.
func (e *HistoryLostError) Error() string {
	return fmt.Sprintf("the log retains no configuration state from offset %d on, and no process has appended one", e.First)
}

// HistoryKnownError reports a restore on a log whose state is known, where a change has to be published instead.
type HistoryKnownError struct {
	// Version is the version in force.
	Version int64
}

// Error implements error.
func (e *HistoryKnownError) Error() string {
	return fmt.Sprintf("version %d is in force; publish a change from it instead of restoring", e.Version)
}

// RecordsRemovedError reports records that the log removed before they were read back.
type RecordsRemovedError struct {
	// Current is the version in force.
	Current int64
}

// Error implements error.
func (e *RecordsRemovedError) Error() string {
	return fmt.Sprintf("version %d is in force, and the log no longer retains the records before it", e.Current)
}
