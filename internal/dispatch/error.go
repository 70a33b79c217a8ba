package dispatch

import (
	"fmt"

	"github.com/laburnumring/laburnumring/pkg/clock"
)

// NotRunError reports a request that was refused before it left the router.
type NotRunError struct {
	// Reason is one word.
	Reason string
	// RetryAfter is when the caller should come back.
	RetryAfter clock.Millis
}

// Error implements error.
func (e *NotRunError) Error() string {
	return fmt.Sprintf("request not run: %s; come back in %d ms", e.Reason, e.RetryAfter)
}
