package agent

import (
	"context"
	"errors"
	"net/http"
	"net/rpc"
	"sync"
	"time"

	"github.com/joomcode/errorx"

	"github.com/laburnumring/laburnumring"
	"github.com/laburnumring/laburnumring/internal/backend"
	"github.com/laburnumring/laburnumring/internal/event"
	"github.com/laburnumring/laburnumring/internal/order"
	"github.com/laburnumring/laburnumring/internal/peer"
	"github.com/laburnumring/laburnumring/pkg/clock"
	"github.com/laburnumring/laburnumring/pkg/outcome"
)

const (
	// orderTimeout limits the time for one order, from its receipt to the engine's answer.
	orderTimeout = 30 * time.Second
	// maxLeaseReadTime is the maximum time from the start of reading the leases to the forwarding of an order. An
	// agent that was paused in between may have missed a newer lease.
	maxLeaseReadTime = 2 * clock.Second
)

// Reasons why an order is not forwarded.
const (
	reasonOtherServer = "other_server"
	reasonNoOrders    = "no_orders"
	reasonOrdersLog   = "order_log_unavailable"
	reasonFenced      = "fenced"
	reasonPaused      = "paused"
)

// orders forwards operators' orders, such as loading an adapter, to the backend server, one at a time.
type orders struct {
	// mu is held from the reading of the leases to the engine's answer, so that an order that passed the check has
	// ended before an order under a later lease is checked.
	mu sync.Mutex
	// c holds the newest leases.
	c *order.Controller
	// rpc is the RPC server for operators.
	rpc *rpc.Server
}

func newOrders(a *Agent) (*orders, error) {
	o := &orders{c: order.New(), rpc: rpc.NewServer()}
	if err := o.rpc.RegisterName(peer.OperatorService, &operatorCalls{a: a}); err != nil {
		return nil, errorx.Decorate(err, "register RPC service for operators")
	}
	return o, nil
}

// operatorCalls is the agent's net/rpc service for operators.
type operatorCalls struct {
	a *Agent
}

func (a *Agent) serveOperator(w http.ResponseWriter, r *http.Request) {
	peer.Serve(w, r, a.orders.rpc, a.counter)
}

// Order forwards an order to the model engine if its fencing number is that of the newest lease.
func (c *operatorCalls) Order(args peer.OrderArgs, reply *peer.OrderReply) error {
	ctx, cancel := context.WithTimeout(context.Background(), orderTimeout)
	defer cancel()
	*reply = c.a.order(ctx, args)
	c.a.o.Logger.Log(event.OrderEnded, "kind", args.Order.Kind, "name", args.Order.Name, "fence", args.Fence,
		"outcome", reply.Outcome, "reason", reply.Reason)
	return nil
}

func (a *Agent) order(ctx context.Context, args peer.OrderArgs) peer.OrderReply {
	engine, ok := a.o.Backend.(laburnumring.Orderer)
	if !ok {
		return peer.OrderReply{Outcome: outcome.NotRun, Reason: reasonNoOrders}
	}
	if args.Server != a.o.Server.Name() {
		return peer.OrderReply{Outcome: outcome.NotRun, Reason: reasonOtherServer}
	}
	a.orders.mu.Lock()
	defer a.orders.mu.Unlock()
	if refused, ok := a.checkOrder(ctx, args); !ok {
		return refused
	}
	return orderReply(engine.Order(ctx, args.Fence, args.Order))
}

// checkOrder reads the stream of leases to its end and returns a refusal and false unless the order has the fencing
// number of the newest lease. a.orders.mu must be held.
func (a *Agent) checkOrder(ctx context.Context, args peer.OrderArgs) (peer.OrderReply, bool) {
	readStart := a.o.Clock.Now()
	if _, err := order.Read(ctx, a.o.Log, a.orders.c); err != nil {
		return peer.OrderReply{Outcome: outcome.NotRun, Reason: reasonOrdersLog}, false
	}
	var fenced *order.FencedError
	if errors.As(a.orders.c.Check(args.Server, args.Fence), &fenced) {
		return peer.OrderReply{Outcome: outcome.NotRun, Reason: reasonFenced, Newest: fenced.Newest}, false
	}
	if a.o.Clock.Now()-readStart > maxLeaseReadTime {
		return peer.OrderReply{Outcome: outcome.NotRun, Reason: reasonPaused}, false
	}
	return peer.OrderReply{}, true
}

// orderReply returns the reply for an order that was forwarded to the engine, which returned err.
func orderReply(err error) peer.OrderReply {
	if err == nil {
		return peer.OrderReply{Outcome: outcome.Whole}
	}
	var status *backend.StatusError
	if errors.As(err, &status) {
		return peer.OrderReply{Outcome: outcome.Failed, Reason: "engine_refused"}
	}
	var incomplete *backend.IncompleteError
	if errors.As(err, &incomplete) && incomplete.NeverSent {
		return peer.OrderReply{Outcome: outcome.NotRun, Reason: "server_unreachable"}
	}
	return peer.OrderReply{Outcome: outcome.Unknown, Reason: reasonServerDied}
}
