package router

import (
	"net/http"

	"github.com/laburnumring/laburnumring/internal/claim"
)

// idempotencyKeyStatus returns the HTTP status for a refusal reason that concerns the request's idempotency key.
func idempotencyKeyStatus(reason string) (int, bool) {
	switch reason {
	case claim.ReasonClaimed, claim.ReasonExpired:
		return http.StatusConflict, true
	case claim.ReasonReused:
		return http.StatusUnprocessableEntity, true
	case claim.ReasonAhead:
		return http.StatusBadRequest, true
	default:
		return 0, false
	}
}
