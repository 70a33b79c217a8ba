package dispatch

import (
	"github.com/laburnumring/laburnumring/internal/ticket"
	"github.com/laburnumring/laburnumring/pkg/clock"
	"github.com/laburnumring/laburnumring/pkg/outcome"
)

// Request is one caller's request as the controller needs it.
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
	// Repeatable says that the request may run more than once.
	Repeatable bool
	// Keyed says that the request carries an idempotency key.
	Keyed bool
	// Fingerprint identifies the request's content over all its copies.
	Fingerprint uint64
}

// Result is how an attempt ended, as far as its router can prove.
type Result struct {
	// Outcome is Whole, NotRun when the attempt certainly never started, Failed or Unknown.
	Outcome outcome.Outcome
	// Reason is one word; empty when whole.
	Reason string
	// Delivered is how many bytes of the answer the caller has received.
	Delivered int64
	// Final says that another attempt cannot help: the caller is gone, or the request is refused as such.
	Final bool
	// RetryAfter is when the caller should come back; 0 leaves it to the controller.
	RetryAfter clock.Millis
}

// Action is something that the router has to do.
type Action interface {
	isAction()
}

// Leave asks to leave a ticket with the agent of a server.
type Leave struct {
	Server string
	Ticket ticket.Ticket
}

// Withdraw asks to take a ticket back.
type Withdraw struct {
	Server  string
	Request string
}

// Decline tells an agent that its offer is not needed.
type Decline struct {
	Server string
	Offer  string
}

// Bind gives a request to the agent that offered a slot.
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

// Finish ends a request; it is the last action for it.
type Finish struct {
	Request string
	Outcome outcome.Outcome
	// Reason is one word; empty when whole.
	Reason string
	// RetryAfter is when the caller should come back; 0 when whole.
	RetryAfter clock.Millis
}

func (Leave) isAction()    {}
func (Withdraw) isAction() {}
func (Decline) isAction()  {}
func (Bind) isAction()     {}
func (Abort) isAction()    {}
func (Finish) isAction()   {}
