// Package peer defines the RPC messages and connections between routers and agents.
package peer

import (
	"github.com/laburnumring/laburnumring/internal/admission"
	"github.com/laburnumring/laburnumring/internal/suspect"
	"github.com/laburnumring/laburnumring/internal/ticket"
)

// Service is the net/rpc service name of an agent's calls for routers.
const Service = "Agent"

// RPCPath is the HTTP path of CONNECT requests that open a router's net/rpc connection.
const RPCPath = "/rpc"

// Paths of an agent's HTTP interface for routers, over which answers are streamed.
const (
	StartPath    = "/v1/start"
	ReattachPath = "/v1/reattach"
)

// HelloArgs opens a router's session with an agent. Tickets and offers are exchanged in sessions.
type HelloArgs struct {
	// Router is the router's name with its incarnation.
	Router string
	// Version is the configuration version that the router has in force.
	Version int64
}

// HelloReply describes the agent to the router.
type HelloReply struct {
	// Server is the name of the agent's backend server.
	Server string
	// Incarnation is unique to the agent's current run.
	Incarnation string
	// Version is the configuration version that the agent has in force.
	Version int64
}

// Ticket tells an agent that a request waits in a router. It is a ticket.Ticket with the request's number in the
// session instead of its id.
type Ticket struct {
	// Request is the number in the request's id, which the router assigned; at least 1.
	Request uint64
	// Rest holds the other fields of the ticket; its Request is empty.
	Rest ticket.Ticket
}

// Offer offers a slot of the agent to a request. It is a ticket.Offer with numbers in the session instead of
// ids.
type Offer struct {
	// Number is the number in the offer's id, which the agent assigned; at least 1.
	Number uint64
	// Request is the number in the request's id, which the router assigned; at least 1.
	Request uint64
	// Attempt is the attempt in the ticket.
	Attempt int
}

// ExchangeArgs carries a Batch of changes from a router, over the connection of its Hello. The changes of each
// kind are in the order in which they were made.
type ExchangeArgs struct {
	// Leave holds tickets to be left with the agent, Withdraw the numbers of requests whose tickets are
	// withdrawn, and Decline the numbers of declined offers.
	Leave    []Ticket
	Withdraw []uint64
	Decline  []uint64
	// Suspects holds updates on requests that may crash backend servers.
	Suspects []suspect.Entry
}

// ExchangeReply is the reply to a batch.
type ExchangeReply struct {
	// Refused holds the numbers of requests whose tickets the agent did not accept.
	Refused []uint64
}

// OffersArgs waits for offers, over the connection of the router's Hello. The call also serves as the router's
// heartbeat.
type OffersArgs struct {
	// Version is the configuration version that the router has in force.
	Version int64
}

// OffersReply carries offers and the agent's state. It also serves as the agent's heartbeat.
type OffersReply struct {
	Offers []Offer
	// Refused holds the numbers of requests whose tickets the agent no longer holds.
	Refused []uint64
	// Suspects holds updates on requests that may crash backend servers.
	Suspects []suspect.Entry
	// Free is the number of slots for which the agent has no tickets.
	Free int
	// Load is the number of requests that the agent holds, running or waiting.
	Load int
	// Slots is the current limit of requests in the backend server.
	Slots int
	// Draining reports whether the agent has stopped accepting work.
	Draining bool
	// Down reports whether the backend server is not responding.
	Down bool
	// Version is the configuration version that the agent has in force.
	Version int64
}

// WithdrawArgs names an offer whose request must no longer start. The call needs no session, so it carries the
// offer's full id.
type WithdrawArgs struct {
	Router string
	Offer  string
}

// WithdrawReply is the result of a withdrawal.
type WithdrawReply struct {
	// State is the offer's state after the call, or 0 when the agent does not know the offer.
	State admission.State
}

// StartMessage is the body of a request to StartPath, which starts an attempt under an offer.
type StartMessage struct {
	Start ticket.Start `cbor:"start"`
	// Body is the caller's request body.
	Body []byte `cbor:"body"`
}

// ReattachMessage is the body of a request to ReattachPath, which asks for the rest of an answer whose stream
// broke.
type ReattachMessage struct {
	Router  string `cbor:"router"`
	Offer   string `cbor:"offer"`
	Request string `cbor:"request"`
	Attempt int    `cbor:"attempt"`
	// From is the offset of the first missing byte.
	From int64 `cbor:"from"`
}
