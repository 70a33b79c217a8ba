// Package peer holds the messages and connections between a router and an agent.
package peer

import (
	"github.com/laburnumring/laburnumring/internal/admission"
	"github.com/laburnumring/laburnumring/internal/suspect"
	"github.com/laburnumring/laburnumring/internal/ticket"
)

// Service is the name under which an agent serves its calls.
const Service = "Agent"

// RPCPath is the HTTP path on which a connection becomes a net/rpc connection.
const RPCPath = "/rpc"

// Paths of an agent's HTTP interface for routers.
const (
	StartPath    = "/v1/start"
	ReattachPath = "/v1/reattach"
)

// HelloArgs opens a router's session with an agent.
type HelloArgs struct {
	// Router names the router with its incarnation.
	Router string
	// Version is the configuration version that the router has in force.
	Version int64
}

// HelloReply describes the agent.
type HelloReply struct {
	// Server is the name of the backend server beside the agent.
	Server string
	// Incarnation is unique to the agent's current run.
	Incarnation string
	// Version is the configuration version that the agent has in force.
	Version int64
}

// Ticket is a ticket inside a session.
type Ticket struct {
	// Request is the request's number among those of the session's router; at least 1.
	Request uint64
	// Rest is the ticket without the request's id.
	Rest ticket.Ticket
}

// Offer is an offer inside a session.
type Offer struct {
	// Number is the offer's among those of the session's agent; at least 1.
	Number uint64
	// Request is the request's number among those of the session's router; at least 1.
	Request uint64
	// Attempt is that of the ticket.
	Attempt int
}

// ExchangeArgs carries a batch of changes from a router, in their order, over the connection of its Hello.
type ExchangeArgs struct {
	// Leave holds new tickets; Withdraw holds numbers of requests; Decline holds numbers of offers.
	Leave    []Ticket
	Withdraw []uint64
	Decline  []uint64
	// Suspects holds news of requests that take servers down.
	Suspects []suspect.Entry
}

// ExchangeReply answers a batch.
type ExchangeReply struct {
	// Refused holds the numbers of requests whose tickets were not taken.
	Refused []uint64
}

// OffersArgs waits for offers, over the connection of the router's Hello; it is the router's heartbeat too.
type OffersArgs struct {
	// Version is the configuration version that the router has in force.
	Version int64
}

// OffersReply carries offers and the agent's state; it is the agent's heartbeat too.
type OffersReply struct {
	Offers []Offer
	// Refused holds the numbers of requests whose tickets are not held any more.
	Refused []uint64
	// Suspects holds news of requests that take servers down.
	Suspects []suspect.Entry
	// Free is how many slots no ticket fills.
	Free int
	// Load is how many requests the agent holds, running or waiting.
	Load int
	// Slots is the most requests inside the backend server now.
	Slots int
	// Draining says that the agent takes no more work.
	Draining bool
	// Down says that the backend server does not answer.
	Down bool
	// Version is the configuration version that the agent has in force.
	Version int64
}

// WithdrawArgs names an offer whose request must not start any more. It needs no session, so the id is a full one.
type WithdrawArgs struct {
	Router string
	Offer  string
}

// WithdrawReply tells what became of it.
type WithdrawReply struct {
	// State is the offer's state after the call; 0 when the agent does not know the offer.
	State admission.State
}

// StartMessage is the body of a start call.
type StartMessage struct {
	Start ticket.Start `cbor:"start"`
	// Body is the caller's request body.
	Body []byte `cbor:"body"`
}

// ReattachMessage asks for the rest of an answer whose stream was cut.
type ReattachMessage struct {
	Router  string `cbor:"router"`
	Offer   string `cbor:"offer"`
	Request string `cbor:"request"`
	Attempt int    `cbor:"attempt"`
	// From is the offset of the first byte that is missing.
	From int64 `cbor:"from"`
}
