package peer

import (
	"github.com/laburnumring/laburnumring"
	"github.com/laburnumring/laburnumring/pkg/outcome"
)

// OperatorService is the net/rpc service name of an agent's calls for operators.
const OperatorService = "Operator"

// OperatorPath is the HTTP path of CONNECT requests that open an operator's net/rpc connection.
const OperatorPath = "/rpc/operator"

// OrderArgs is an order for the model engine that is an agent's backend server.
type OrderArgs struct {
	// Server is the backend server's name. The agent of another server refuses the order.
	Server string
	// Fence is the fencing number of the sender's lease. Orders with an older one than the newest are refused.
	Fence int64
	Order laburnumring.Order
}

// OrderReply is the result of an order.
type OrderReply struct {
	// Outcome is Whole when the engine carried out the order, NotRun when the order did not reach the engine,
	// Failed when the engine refused it, and Unknown otherwise.
	Outcome outcome.Outcome
	// Reason is a single word; empty when the outcome is whole.
	Reason string
	// Newest is the newest fencing number; it is set when the order's was older.
	Newest int64
}
