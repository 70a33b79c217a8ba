package dispatch

import (
	"fmt"

	"github.com/laburnumring/laburnumring/pkg/clock"
)

// NotRunError is returned for a request that the router refused before it sent it to a server.
type NotRunError struct {
	// Reason is one word.
	Reason string
	// RetryAfter is how long the caller should wait before it retries.
	RetryAfter clock.Millis
}

// Error implements error.
func (e *NotRunError) Error() string {
	return fmt.Sprintf("request not run: %s; retry after %d ms", e.Reason, e.RetryAfter)
}
