package publication

import "fmt"

// LostRaceError reports a change that another one from the same version preceded. Nothing was changed.
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

// UndecidedError reports a change of which it is not known whether it was accepted.
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
	return fmt.Sprintf("publication %s is undecided: it may be in force or come into force; look with config show before publishing again: %v",
		e.ID, e.Err)
}

// Unwrap returns what kept the log from being read.
func (e *UndecidedError) Unwrap() error { return e.Err }

// NotPublishedError reports a change that was never handed to the log.
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

// HistoryLostError reports a log that no longer keeps the version in force, nor a snapshot of it.
type HistoryLostError struct {
	// First is the oldest offset from which the log was read.
	First int64
}

// Error implements error.
func (e *HistoryLostError) Error() string {
	return fmt.Sprintf("the log keeps no state of the configuration from offset %d on, and no process has appended one", e.First)
}

// HistoryKnownError reports a restore on a log whose state is known.
type HistoryKnownError struct {
	// Version is the version in force.
	Version int64
}

// Error implements error.
func (e *HistoryKnownError) Error() string {
	return fmt.Sprintf("version %d is in force; publish a change from it in place of restoring", e.Version)
}

// OvertakenError reports records that the log dropped before they were read back.
type OvertakenError struct {
	// Current is the version in force.
	Current int64
}

// Error implements error.
func (e *OvertakenError) Error() string {
	return fmt.Sprintf("version %d is in force, and the log no longer keeps the records before it", e.Current)
}
