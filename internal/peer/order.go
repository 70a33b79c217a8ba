package peer

import (
	"github.com/laburnumring/laburnumring"
	"github.com/laburnumring/laburnumring/pkg/outcome"
)

// OperatorService is the name under which an agent serves operators' calls.
const OperatorService = "Operator"

// OperatorPath is the HTTP path on which an operator's connection becomes a net/rpc connection.
const OperatorPath = "/rpc/operator"

// OrderArgs is an order to the model engine beside an agent.
type OrderArgs struct {
	// Server is the backend server's name; an agent beside another one refuses.
	Server string
	// Fence is the fencing number of the sender's lease.
	Fence int64
	// Order is what to do.
	Order laburnumring.Order
}

// OrderReply tells what became of an order.
type OrderReply struct {
	// Outcome is Whole when the engine carried the order out, NotRun when it was not passed on, Failed when the
	// engine refused it, or Unknown.
	Outcome outcome.Outcome
	// Reason is one word; empty when whole.
	Reason string
	// Newest is the newest fencing number when the order's was older.
	Newest int64
}
