package claim

import "fmt"

// Reasons of a RefusedError.
const (
	// ReasonClaimed means that another submission holds the key.
	ReasonClaimed = "key_claimed"
	// ReasonReused means that a submission with other content holds the key.
	ReasonReused = "key_reused"
	// ReasonExpired means that the key is older than the key window.
	ReasonExpired = "key_expired"
	// ReasonAhead means that the key's time is in the future by more than the clock skew.
	ReasonAhead = "key_time_ahead"
	// ReasonUnavailable means that the log was unavailable or did not decide the claim in time.
	ReasonUnavailable = "claim_log_unavailable"
)

// RefusedError reports a claim whose request must not start.
type RefusedError struct {
	// ID is the claim's id.
	ID string
	// Reason is one of the Reason constants.
	Reason string
}

// Error implements error.
func (e *RefusedError) Error() string {
	return fmt.Sprintf("claim %s refused: %s", e.ID, e.Reason)
}

// NeverStarted reports whether the submission certainly did not run. It returns false when another submission of
// the same content may have run with the key.
func (e *RefusedError) NeverStarted() bool {
	return e.Reason == ReasonUnavailable || e.Reason == ReasonReused
}
