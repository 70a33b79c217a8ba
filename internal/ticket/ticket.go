// Package ticket holds the messages by which routers and agents agree on who runs a request.
package ticket

import "github.com/laburnumring/laburnumring/pkg/clock"

// Ticket tells an agent that a request waits in a router. It is soft state: a lost one is left again.
type Ticket struct {
	// Request is unique in the fleet and over time.
	Request string
	// Attempt counts from 1.
	Attempt int
	// Team is the name of the request's team.
	Team string
	// Cost is the expected cost in service units; at least 1.
	Cost int64
	// Age is how long the request had waited when the ticket was sent. Clocks of two VMs are not compared.
	Age clock.Millis
	// Remaining is the time to the request's deadline when the ticket was sent.
	Remaining clock.Millis
	// Keyed says that the request carries an idempotency key and needs a claim before it starts.
	Keyed bool
	// Fingerprint identifies the request's content over all its copies.
	Fingerprint uint64
	// Suspect says that an earlier attempt was running when a backend server died.
	Suspect bool
}

// Offer holds one slot of an agent for one request until the offer expires.
type Offer struct {
	// ID is unique in the fleet and over time.
	ID string
	// Router names the router that left the ticket.
	Router string
	// Request and Attempt are those of the ticket.
	Request string
	Attempt int
}

// Ref names a waiting request in an agent.
type Ref struct {
	// Router names the router that holds the request.
	Router string
	// Request is the request's id.
	Request string
}

// Start is what a router sends with a request's body to start it under an offer.
type Start struct {
	// Offer is the id of the offer that the router accepted.
	Offer string
	// Router names the router, with its incarnation.
	Router string
	// Request and Attempt name the attempt.
	Request string
	Attempt int
	// Team is the name of the request's team.
	Team string
	// Remaining is the time to the request's deadline.
	Remaining clock.Millis
	// Repeatable says that the request may run more than once.
	Repeatable bool
	// Key is the caller's idempotency key, scoped by team and service; empty without one.
	Key string
	// KeyTime is when the caller made the key, in Unix milliseconds.
	KeyTime clock.Millis
	// Fingerprint identifies the request's content over all its copies.
	Fingerprint uint64
	// ResumeFrom is the offset in the answer from which to go on; 0 at a first attempt.
	ResumeFrom int64
	// Method, Path and ContentType are those of the caller's request to a plain service.
	Method      string
	Path        string
	ContentType string
}
