package admission

import "fmt"

// RefusedError is returned for a request that did not start under an offer.
type RefusedError struct {
	// Offer is the offer's id.
	Offer string
	// State is the offer's state; 0 for an unknown offer.
	State State
	// Reason is one word.
	Reason string
}

// Error implements error.
func (e *RefusedError) Error() string {
	return fmt.Sprintf("offer %s in state %v refused: %s", e.Offer, e.State, e.Reason)
}

// NeverStarted reports whether the error proves that the request did not start under the offer and never will.
func (e *RefusedError) NeverStarted() bool {
	return e.State == Withdrawn
}
