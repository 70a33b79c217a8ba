package router

import (
	"context"
	"math/rand/v2"
	"net/rpc"
	"slices"
	"sync"
	"time"

	"github.com/laburnumring/laburnumring/internal/board"
	"github.com/laburnumring/laburnumring/internal/dispatch"
	"github.com/laburnumring/laburnumring/internal/event"
	"github.com/laburnumring/laburnumring/internal/interval"
	"github.com/laburnumring/laburnumring/internal/peer"
	"github.com/laburnumring/laburnumring/internal/ticket"
)

// Timing of a link. A session that lasted longer than stableSession resets the delay before the next connection
// attempt to minRedialDelay.
const (
	dialTimeout    = 1 * time.Second
	callTimeout    = 2 * time.Second
	minRedialDelay = 50 * time.Millisecond
	maxRedialDelay = 2 * time.Second
	stableSession  = 5 * time.Second
)

// link is a router's control connection to one agent. It reconnects whenever its session breaks.
type link struct {
	r       *Router
	server  string
	address string
	// stop ends the link's goroutines. It is set before they start.
	stop context.CancelFunc
	// outbox holds the changes to be sent to the agent; guarded by the router's mu.
	outbox peer.Batch
	// wake, with a buffer of one, signals that outbox is not empty.
	wake chan struct{}
	// sessionOpen is set while the link has a session; guarded by the router's mu.
	sessionOpen bool
	// agentVersion is the configuration version that the agent last reported; guarded by the router's mu.
	agentVersion int64
	// versionsDiffer, with a buffer of one, signals that router and agent have different configuration versions.
	versionsDiffer chan struct{}
}

func newLink(r *Router, server, address string) *link {
	return &link{r: r, server: server, address: address, wake: make(chan struct{}, 1), versionsDiffer: make(chan struct{}, 1)}
}

// run keeps a session open until ctx ends. It reconnects with capped exponential backoff and jitter.
func (l *link) run(ctx context.Context) {
	delay := minRedialDelay
	for ctx.Err() == nil {
		start := time.Now()
		err := l.session(ctx)
		l.sessionClosed(ctx, err)
		if time.Since(start) > stableSession {
			delay = minRedialDelay
		}
		interval.Sleep(ctx, delay/2+rand.N(delay/2))
		delay = min(2*delay, maxRedialDelay)
	}
}

// session opens a session and serves it until it breaks. It returns the cause.
func (l *link) session(ctx context.Context) error {
	dialCtx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	client, err := peer.Dial(dialCtx, l.address, l.r.o.TLS, l.r.peerTraffic)
	if err != nil {
		return err
	}
	defer func() { _ = client.Close() }()
	ids, err := l.hello(ctx, client)
	if err != nil {
		return err
	}
	ctx, stop := context.WithCancelCause(ctx)
	var wg sync.WaitGroup
	wg.Go(func() { stop(l.fetchOffers(ctx, client, ids)) })
	wg.Go(func() { l.syncLoop(ctx, client) })
	stop(l.sendBatches(ctx, client, ids))
	wg.Wait()
	return context.Cause(ctx)
}

// hello opens the session and returns the conversion of ids for it.
func (l *link) hello(ctx context.Context, client *rpc.Client) (peer.IDCodec, error) {
	r := l.r
	var reply peer.HelloReply
	err := callAgent(ctx, client, "Hello", peer.HelloArgs{Router: r.id, Version: r.version()}, &reply)
	if err != nil {
		return peer.IDCodec{}, err
	}
	if reply.Server != l.server {
		return peer.IDCodec{}, &wrongServerError{Address: l.address, Want: l.server, Got: reply.Server}
	}
	now := r.o.Clock.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	l.sessionOpen = true
	l.outbox = peer.Batch{Suspects: r.suspects.Entries(now)}
	l.wakeSender()
	l.versionReceived(reply.Version)
	if r.membership.SessionOpened(l.server, reply.Incarnation) {
		r.o.Logger.Log(event.AgentReady, "server", l.server, "incarnation", reply.Incarnation)
		r.execute(r.dispatch.AgentReady(now, l.server))
	}
	return peer.NewIDCodec(r.id, reply.Incarnation), nil
}

// sessionClosed records the end of a session. The tickets and offers that the agent held for this router are no
// longer valid.
func (l *link) sessionClosed(ctx context.Context, err error) {
	r := l.r
	now := r.o.Clock.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	if !l.sessionOpen {
		return
	}
	l.sessionOpen = false
	if ctx.Err() != nil {
		return
	}
	r.o.Logger.Log(event.AgentSilent, "server", l.server, "error", err)
	r.membership.SessionLost(l.server)
	r.cancelStreams(l.server)
	r.execute(r.dispatch.AgentLost(now, l.server))
}

// fetchOffers polls the agent for offers until the session breaks.
func (l *link) fetchOffers(ctx context.Context, client *rpc.Client, ids peer.IDCodec) error {
	for ctx.Err() == nil {
		var reply peer.OffersReply
		args := peer.OffersArgs{Version: l.r.version()}
		if err := callAgent(ctx, client, "Offers", args, &reply); err != nil {
			return err
		}
		offers, err := ids.UnpackOffers(reply.Offers)
		if err != nil {
			return err
		}
		refused, err := ids.UnpackRequests(reply.Refused)
		if err != nil {
			return err
		}
		l.applyOffersReply(reply, offers, refused)
	}
	return ctx.Err()
}

// applyOffersReply applies the agent's state, its offers and the ids of the requests whose tickets it refused.
func (l *link) applyOffersReply(reply peer.OffersReply, offers []ticket.Offer, refused []string) {
	r := l.r
	r.mergeSuspects(l.server, reply.Suspects)
	now := r.o.Clock.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.links[l.server] != l {
		return
	}
	l.versionReceived(reply.Version)
	previous, _ := r.board.Peer(l.server)
	state := r.membership.Reported(l.server, reply.Load, reply.Slots, reply.Draining, reply.Down)
	for _, id := range refused {
		r.dispatch.TicketRefused(now, l.server, id)
	}
	l.answerOffers(now, previous.State, offers)
	if state == board.Leaving && previous.State != board.Leaving {
		r.o.Logger.Log(event.AgentLeaving, "server", l.server, "source", "agent")
	}
	if state != board.Ready {
		r.execute(r.dispatch.AgentLeaving(now, l.server))
		return
	}
	if previous.State == board.Down {
		r.execute(r.dispatch.AgentReady(now, l.server))
	}
	if reply.Free > 0 {
		r.execute(r.dispatch.AgentIdle(now, l.server, reply.Free))
	}
}

// sendBatches sends the contents of the outbox until the session breaks.
func (l *link) sendBatches(ctx context.Context, client *rpc.Client, ids peer.IDCodec) error {
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-l.wake:
		}
		batch := l.takeOutbox()
		if batch.Empty() {
			continue
		}
		if err := l.exchange(ctx, client, ids, batch); err != nil {
			return err
		}
	}
}

// exchange sends one batch and records the tickets that the agent refused.
func (l *link) exchange(ctx context.Context, client *rpc.Client, ids peer.IDCodec, batch peer.Batch) error {
	args, err := ids.Pack(batch)
	if err != nil {
		return err
	}
	var reply peer.ExchangeReply
	if err := callAgent(ctx, client, "Exchange", args, &reply); err != nil {
		return err
	}
	refused, err := ids.UnpackRequests(reply.Refused)
	if err != nil {
		return err
	}
	l.ticketsRefused(refused)
	return nil
}

// takeOutbox empties the outbox and returns what it held.
func (l *link) takeOutbox() peer.Batch {
	l.r.mu.Lock()
	defer l.r.mu.Unlock()
	batch := l.outbox
	l.outbox = peer.Batch{}
	return batch
}

func (l *link) ticketsRefused(requests []string) {
	if len(requests) == 0 {
		return
	}
	r := l.r
	now := r.o.Clock.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, id := range requests {
		r.dispatch.TicketRefused(now, l.server, id)
	}
}

// wakeSender wakes sendBatches. It must be called with the router's mu held.
func (l *link) wakeSender() {
	select {
	case l.wake <- struct{}{}:
	default:
	}
}

// send adds an action for the agent to the outbox; without a session it does nothing. It must be called with the
// router's mu held.
func (l *link) send(a dispatch.Action) {
	if !l.sessionOpen {
		return
	}
	switch a := a.(type) {
	case dispatch.SendTicket:
		l.outbox.Leave = append(l.outbox.Leave, a.Ticket)
	case dispatch.WithdrawTicket:
		l.withdraw(a.Request)
	case dispatch.DeclineOffer:
		l.outbox.Decline = append(l.outbox.Decline, a.Offer)
	default:
		return
	}
	l.wakeSender()
}

// withdraw withdraws a request's ticket. A ticket still in the outbox is dropped, but the withdrawal is sent all
// the same, because the dropped ticket may have been the renewal of one that was sent earlier. An agent applies
// a batch's withdrawals before its tickets.
func (l *link) withdraw(request string) {
	l.outbox.Leave = slices.DeleteFunc(l.outbox.Leave, func(t ticket.Ticket) bool { return t.Request == request })
	l.outbox.Withdraw = append(l.outbox.Withdraw, request)
}

// callAgent calls one of an agent's RPC methods. It gives up after callTimeout or when ctx ends.
func callAgent(ctx context.Context, client *rpc.Client, method string, args, reply any) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	c := client.Go(peer.Service+"."+method, args, reply, make(chan *rpc.Call, 1))
	select {
	case <-ctx.Done():
		return ctx.Err()
	case done := <-c.Done:
		return done.Error
	}
}

// version returns the version of the configuration in force.
func (r *Router) version() int64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.board.Version()
}
