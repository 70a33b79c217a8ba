// Package header names the HTTP headers of the callers' interface.
package header

// Headers that a caller sends.
const (
	// Team names the caller's team.
	Team = "Laburnumring-Team"
	// Deadline is the most milliseconds that the caller will wait.
	Deadline = "Laburnumring-Deadline-Ms"
	// CostHint is the caller's guess of the request's cost in service units.
	CostHint = "Laburnumring-Cost-Hint"
	// Repeatable is "true" or "false".
	Repeatable = "Laburnumring-Repeatable"
	// IdempotencyKey names a request that must run at most once however often it is sent.
	IdempotencyKey = "Idempotency-Key"
	// KeyTime is when the key was made, in Unix milliseconds; not needed for a version 7 UUID.
	KeyTime = "Laburnumring-Key-Time"
)

// Headers and trailers that the router sends.
const (
	// Outcome is one of the constants of package outcome.
	Outcome = "Laburnumring-Outcome"
	// Reason says in one word why the outcome is not whole.
	Reason = "Laburnumring-Reason"
	// Request is the router's id of the request.
	Request = "Laburnumring-Request"
	// Length is the answer's length in bytes, as a trailer.
	Length = "Laburnumring-Length"
	// RetryAfterMs is when to come back, in milliseconds.
	RetryAfterMs = "Laburnumring-Retry-After-Ms"
)
