package dispatch

import (
	"github.com/laburnumring/laburnumring/internal/ticket"
	"github.com/laburnumring/laburnumring/pkg/clock"
	"github.com/laburnumring/laburnumring/pkg/outcome"
)

// Request describes a caller's request.
type Request struct {
	// ID is unique in the fleet and over time.
	ID string
	// Team and Service are names from the configuration.
	Team    string
	Service string
	// Cost is the expected cost in service units; at least 1.
	Cost int64
	// Deadline is when the caller stops waiting.
	Deadline clock.Millis
	// Repeatable reports whether the request may run more than once.
	Repeatable bool
	// Keyed reports whether the request has an idempotency key.
	Keyed bool
	// Fingerprint is a hash of the request's content, the same for all copies of the request.
	Fingerprint uint64
}

// Result is the result of an attempt, as far as the router can prove it.
type Result struct {
	// Outcome is Whole for a complete answer, NotRun only if the attempt certainly never started, Failed or
	// Unknown.
	Outcome outcome.Outcome
	// Reason is one word; empty when Whole.
	Reason string
	// Delivered is how many bytes of the answer the caller has received.
	Delivered int64
	// Final is set when another attempt cannot help: the caller has disconnected, or the request itself is refused.
	Final bool
	// RetryAfter is how long the caller should wait before it retries; 0 if the controller is to estimate it.
	RetryAfter clock.Millis
}

// Action is something that the router has to do for the controller.
type Action interface {
	isAction()
}

// SendTicket asks to send a ticket to the agent of a server.
type SendTicket struct {
	Server string
	Ticket ticket.Ticket
}

// WithdrawTicket asks to withdraw a request's ticket from the agent of a server.
type WithdrawTicket struct {
	Server  string
	Request string
}

// DeclineOffer asks to tell an agent that its offer is not used.
type DeclineOffer struct {
	Server string
	Offer  string
}

// Bind asks to send a request to the agent whose offer it accepts.
type Bind struct {
	Server  string
	Offer   string
	Request string
	Attempt int
}

// Abort asks to stop the running attempt of a request and report its result.
type Abort struct {
	Request string
	Reason  string
}

// Finish ends a request. It is the last action for the request.
type Finish struct {
	Request string
	Outcome outcome.Outcome
	// Reason is one word; empty when Whole.
	Reason string
	// RetryAfter is how long the caller should wait before it retries; 0 when Whole.
	RetryAfter clock.Millis
}

func (SendTicket) isAction()     {}
func (WithdrawTicket) isAction() {}
func (DeclineOffer) isAction()   {}
func (Bind) isAction()           {}
func (Abort) isAction()          {}
func (Finish) isAction()         {}
