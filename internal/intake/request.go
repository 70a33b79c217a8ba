package intake

import (
	"fmt"

	"github.com/laburnumring/laburnumring"
	"github.com/laburnumring/laburnumring/pkg/clock"
)

// Request is one caller's request, as far as decisions depend on it.
type Request struct {
	// ID is unique in the process.
	ID int64
	// Team is the caller's team, Service the service that the request is for.
	Team    string
	Service string
	// Parts are the prompt's parts and PromptTokens their sum; empty for plain calls.
	Parts        []laburnumring.PromptPart
	PromptTokens int64
	// OutputTokens is the expected length of the answer.
	OutputTokens int64
	// Arrived is when the request was read. Goal is the latency goal: how long after that the answer, or its first
	// event, is on time.
	Arrived clock.Millis
	Goal    clock.Millis
	// Deadline is when the request ends in any case.
	Deadline clock.Millis
	// Fingerprint identifies the request's content and is the same in retries.
	Fingerprint uint64
	// Committed is set if a server has already started the request: its caller has a part of the answer, and its team
	// has been charged.
	Committed bool
	// Stream is set if the answer is a stream that may go on at another server. Software is then the key of the software
	// version that began it; 0 if none has yet.
	Stream   bool
	Software uint64
	// TakenUp is set if the request goes on with a stream of which its caller has a part by an earlier request. Its team
	// is charged again, but not held back: an answer is worth more once it has begun.
	TakenUp bool
	// Tried holds the servers that already received the request.
	Tried []string
	// firstArrived is when the request was first refused if it is a retry, otherwise Arrived.
	firstArrived clock.Millis
}

// retried reports whether the request was refused before and its caller retries it.
func (r Request) retried() bool { return r.firstArrived < r.Arrived }

// committed reports whether the caller has a part of the answer, so that the request is not held back for its team's
// share.
func (r Request) committed() bool { return r.Committed || r.TakenUp }

// tokens returns the request's cost in its team's share. Generated tokens count twice, as in the platform's figure for
// the engines' capacity.
func (r Request) tokens() int64 { return r.PromptTokens + 2*r.OutputTokens }

// ownTokens returns the tokens of the prompt's last part, which no other request shares.
func (r Request) ownTokens() int64 {
	if len(r.Parts) == 0 {
		return r.PromptTokens
	}
	return r.Parts[len(r.Parts)-1].Tokens
}

// Decision is the outcome of Submit, Resubmit or Poll for one request.
type Decision struct {
	// Request is the request's ID.
	Request int64
	// Server is the server to send the request to; empty if it is refused.
	Server laburnumring.ServerEntry
	// Refusal is set if the request is refused.
	Refusal *RefusedError
	// Underserved is set if the request's team is underserved, so that a lack of processor time does not hold the
	// request back.
	Underserved bool
	// Basis holds the figures behind the decision, for the log.
	Basis Basis
}

// Basis holds the figures that a decision is based on.
type Basis struct {
	// Expected is the predicted time to the answer or first event at the server, in milliseconds.
	Expected int64
	// Queued is the prompt tokens queued at the server, Uncached the prompt tokens of this request that are not cached
	// there, and Running the number of requests there, as far as known.
	Queued   int64
	Uncached int64
	Running  int
	// Reread is the shared prompt tokens among Uncached, and Home says whether the server is the primary one of the
	// prompt's shared part, or else why that was not chosen; empty without a shared part.
	Reread int64
	Home   string
	// Pause is the expected longest pause between the events of the streams at the server while it reads this request,
	// and PauseCost the lateness of streams by which the choice of the server was corrected, both in milliseconds; 0 if
	// no stream of the service has a pause goal.
	Pause     int64
	PauseCost int64
	// Served and Recent are the team's tokens per second over a longer and a shorter time, FairRate is the fair rate; 0
	// while capacity suffices for all.
	Served   int64
	Recent   int64
	FairRate int64
	// PeerAge is the age of the oldest peer report that was used; 0 without peers.
	PeerAge clock.Millis
}

// RefusedError reports that a request is refused and has not run.
type RefusedError struct {
	// Reason identifies the reason in logs and metrics.
	Reason string
	// RetryAfter is the time after which capacity is likely to be free.
	RetryAfter clock.Millis
	// Part is the id of the prompt part for which the request is refused; empty if there is none.
	Part string
}

// Error implements error.
func (e *RefusedError) Error() string {
	return fmt.Sprintf("request refused: %s, retry after %d ms", e.Reason, e.RetryAfter)
}
