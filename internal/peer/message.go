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

// ExchangeArgs carries a batch of changes from a router, in their order.
type ExchangeArgs struct {
	Router string
	// Leave holds new tickets; Withdraw holds ids of requests; Decline holds ids of offers.
	Leave    []ticket.Ticket
	Withdraw []string
	Decline  []string
	// Suspects holds news of requests that take servers down.
	Suspects []suspect.Entry
}

// ExchangeReply answers a batch.
type ExchangeReply struct {
	// Refused holds the ids of requests whose tickets were not taken.
	Refused []string
}

// OffersArgs waits for offers; it is the router's heartbeat too.
type OffersArgs struct {
	Router  string
	Version int64
}

// OffersReply carries offers and the agent's state; it is the agent's heartbeat too.
type OffersReply struct {
	Offers []ticket.Offer
	// Refused holds the ids of requests whose tickets are not held any more.
	Refused []string
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

// WithdrawArgs names an offer whose request must not start any more.
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
