// Package header defines the names of the HTTP headers that callers and routers exchange.
package header

// Headers that a caller sends.
const (
	// Team names the caller's team.
	Team = "Laburnumring-Team"
	// Deadline is the longest time that the caller waits, in milliseconds.
	Deadline = "Laburnumring-Deadline-Ms"
	// CostHint is the caller's estimate of the request's cost, in service units.
	CostHint = "Laburnumring-Cost-Hint"
	// Repeatable says whether the request may run more than once: "true" or "false".
	Repeatable = "Laburnumring-Repeatable"
	// IdempotencyKey identifies a request that must run at most once, however often the caller sends it.
	IdempotencyKey = "Idempotency-Key"
	// KeyTime is the time at which the key was created, in Unix milliseconds. A version 7 UUID needs none.
	KeyTime = "Laburnumring-Key-Time"
)

// Headers and trailers that the router sends.
const (
	// Outcome is one of the constants of package outcome.
	Outcome = "Laburnumring-Outcome"
	// Reason is one word for why the outcome is not Whole.
	Reason = "Laburnumring-Reason"
	// Request is the router's id of the request.
	Request = "Laburnumring-Request"
	// Length is the answer's length in bytes, as a trailer.
	Length = "Laburnumring-Length"
	// RetryAfterMs is the time to wait before a retry, in milliseconds.
	RetryAfterMs = "Laburnumring-Retry-After-Ms"
)
