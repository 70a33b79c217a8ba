// Package ticket defines the messages with which routers and agents agree on the agent that runs a request.
package ticket

import "github.com/laburnumring/laburnumring/pkg/clock"

// Ticket tells an agent that a request waits in a router. It is soft state: the router sends a lost ticket again.
type Ticket struct {
	// Request is the request's id, which is unique in the fleet and over time.
	Request string
	// Attempt is the number of the attempt, starting at 1.
	Attempt int
	// Team is the name of the request's team.
	Team string
	// Cost is the expected cost in service units; at least 1.
	Cost int64
	// Age is how long the request had waited when the ticket was sent. It is a duration because the clocks of two VMs
	// are not compared.
	Age clock.Millis
	// Remaining is the time until the request's deadline when the ticket was sent.
	Remaining clock.Millis
	// Keyed reports whether the request has an idempotency key and must be claimed before it starts.
	Keyed bool
	// Fingerprint is a hash of the request's content, the same for all copies of the request.
	Fingerprint uint64
	// Suspect reports whether an earlier attempt was running when a backend server crashed.
	Suspect bool
}

// Offer is an agent's offer to run a request. It holds one slot of the agent for the request, and expires if the
// router does not accept it in time.
type Offer struct {
	// ID is unique in the fleet and over time.
	ID string
	// Router is the name of the router that sent the ticket.
	Router string
	// Request and Attempt are those of the ticket.
	Request string
	Attempt int
}

// Ref identifies a waiting request at an agent.
type Ref struct {
	// Router is the name of the router that holds the request.
	Router string
	// Request is the request's id.
	Request string
}

// Start is the message with which a router accepts an offer. The request's body follows it.
type Start struct {
	// Offer is the id of the accepted offer.
	Offer string
	// Router is the name of the router, with its incarnation.
	Router string
	// Request and Attempt identify the attempt.
	Request string
	Attempt int
	// Team is the name of the request's team.
	Team string
	// Remaining is the time until the request's deadline.
	Remaining clock.Millis
	// Repeatable reports whether the request may run more than once.
	Repeatable bool
	// Key is the caller's idempotency key, scoped by team and service; empty without one.
	Key string
	// KeyTime is when the caller created the key, in Unix milliseconds.
	KeyTime clock.Millis
	// Fingerprint is a hash of the request's content, the same for all copies of the request.
	Fingerprint uint64
	// ResumeFrom is the offset in the answer from which to continue; 0 at a first attempt.
	ResumeFrom int64
	// Method, Path and ContentType are those of the caller's request to a plain service.
	Method      string
	Path        string
	ContentType string
}
