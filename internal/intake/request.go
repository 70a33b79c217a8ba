package intake

import (
	"fmt"

	"github.com/laburnumring/laburnumring"
	"github.com/laburnumring/laburnumring/pkg/clock"
)

// Request is one caller's request as the decisions see it.
type Request struct {
	// ID is unique in the process.
	ID int64
	// Team is the caller's team, Service the service that shall run the request.
	Team    string
	Service string
	// Parts are the prompt's parts and PromptTokens their sum; none for plain calls.
	Parts        []laburnumring.PromptPart
	PromptTokens int64
	// OutputTokens is how long the answer is expected to be.
	OutputTokens int64
	// Arrived is when the request was read, Goal how long after that the answer, or its first event, is on time.
	Arrived clock.Millis
	Goal    clock.Millis
	// Limit is when the request ends in any case.
	Limit clock.Millis
	// Fingerprint identifies the request's content, however often its caller sends it.
	Fingerprint uint64
	// Begun says that a server has begun with the request before: its caller has a part of the answer, and its team was
	// charged.
	Begun bool
	// Tried holds the servers that got the request already.
	Tried []string
	// asked is when the caller first asked: before Arrived for a caller that was refused and came back.
	asked clock.Millis
}

// returned reports whether the caller was refused and came back.
func (r Request) returned() bool { return r.asked < r.Arrived }

// tokens is what the request counts in its team's share: generated tokens count twice, as the platform's figure
// for the engines' capacity has it.
func (r Request) tokens() int64 { return r.PromptTokens + 2*r.OutputTokens }

// Decision is what happens to a request now.
type Decision struct {
	// Request is the request's id.
	Request int64
	// Server is the server to send to; empty when the request is refused.
	Server laburnumring.ServerEntry
	// Refusal is set when the request is refused.
	Refusal *RefusedError
	// Owed says that the request's team is behind its share, so that a lack of processor time does not keep it back.
	Owed bool
	// Basis is what the decision rests on, for the log.
	Basis Basis
}

// Basis is what a decision rests on.
type Basis struct {
	// Expected is the expected time to the answer or first event at the server, in milliseconds.
	Expected int64
	// Queued is the prompt tokens that the server had to read before, Fresh those of this request that it does
	// not keep, Running the requests that it had, as far as known.
	Queued  int64
	Fresh   int64
	Running int
	// Served and Recent are the team's tokens per second over a longer and a shorter time, Level the max-min share; Level
	// is 0 when all are served.
	Served int64
	Recent int64
	Level  int64
	// PeerAge is the age of the oldest peer's report that was used; 0 without peers.
	PeerAge clock.Millis
}

// RefusedError says that a request is refused and has not run.
type RefusedError struct {
	// Reason is a word for logs and metrics.
	Reason string
	// RetryAfter is when there is likely to be room.
	RetryAfter clock.Millis
}

// Error implements error.
func (e *RefusedError) Error() string {
	return fmt.Sprintf("request refused: %s, retry after %d ms", e.Reason, e.RetryAfter)
}
