package claim

import "fmt"

// Reasons of a RefusedError.
const (
	// ReasonClaimed means that another submission holds the key.
	ReasonClaimed = "key_claimed"
	// ReasonReused means that the key was used with other content.
	ReasonReused = "key_reused"
	// ReasonExpired means that the key is older than what is remembered.
	ReasonExpired = "key_expired"
	// ReasonAhead means that the key's time lies in the future.
	ReasonAhead = "key_time_ahead"
	// ReasonUnavailable means that the claim could not be settled with the log in time.
	ReasonUnavailable = "claim_log_unavailable"
)

// RefusedError reports a claim under which the request must not start.
type RefusedError struct {
	// ID is the claim's id.
	ID string
	// Reason is one of the constants.
	Reason string
}

// Error implements error.
func (e *RefusedError) Error() string {
	return fmt.Sprintf("claim %s refused: %s", e.ID, e.Reason)
}

// NeverStarted reports whether this submission certainly ran nowhere. Where another submission of the same
// content may have run under the key, it is false.
func (e *RefusedError) NeverStarted() bool {
	return e.Reason == ReasonUnavailable || e.Reason == ReasonReused
}
