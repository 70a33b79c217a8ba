package router

import (
	"net/http"

	"github.com/laburnumring/laburnumring/internal/claim"
)

// keyStatus returns the HTTP status of a refusal that is about the request's idempotency key.
func keyStatus(reason string) (int, bool) {
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
