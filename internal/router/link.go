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

// Timing of a link.
const (
	dialTimeout   = 1 * time.Second
	callTimeout   = 2 * time.Second
	minRedial     = 50 * time.Millisecond
	maxRedial     = 2 * time.Second
	healthyPeriod = 5 * time.Second
)

// link is a router's control connection to one agent.
type link struct {
	r       *Router
	server  string
	address string
	// stop ends the link's goroutines; it is set before they start.
	stop context.CancelFunc
	// outbox holds what is to be sent; guarded by the router's mu.
	outbox peer.Batch
	// wake has room for one signal that outbox is not empty.
	wake chan struct{}
	// open says that a session stands; guarded by the router's mu.
	open bool
	// version is the configuration version that the agent last said to have; guarded by the router's mu.
	version int64
	// differs has room for one signal that the versions of router and agent differ.
	differs chan struct{}
}

func newLink(r *Router, server, address string) *link {
	return &link{r: r, server: server, address: address, wake: make(chan struct{}, 1), differs: make(chan struct{}, 1)}
}

// run keeps a session open until ctx ends, with capped exponential backoff between attempts.
func (l *link) run(ctx context.Context) {
	delay := minRedial
	for ctx.Err() == nil {
		start := time.Now()
		err := l.session(ctx)
		l.close(ctx, err)
		if time.Since(start) > healthyPeriod {
			delay = minRedial
		}
		interval.Sleep(ctx, delay/2+rand.N(delay/2))
		delay = min(2*delay, maxRedial)
	}
}

// session connects and serves one session until it breaks.
func (l *link) session(ctx context.Context) error {
	dial, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	client, err := peer.Dial(dial, l.address, l.r.o.TLS, l.r.counter)
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
	wg.Go(func() { l.levelVersions(ctx, client) })
	stop(l.sendBatches(ctx, client, ids))
	wg.Wait()
	return context.Cause(ctx)
}

// hello opens the session and returns the conversions of its ids.
func (l *link) hello(ctx context.Context, client *rpc.Client) (peer.Session, error) {
	r := l.r
	var reply peer.HelloReply
	err := invoke(ctx, client, "Hello", peer.HelloArgs{Router: r.id, Version: r.version()}, &reply)
	if err != nil {
		return peer.Session{}, err
	}
	if reply.Server != l.server {
		return peer.Session{}, &wrongServerError{Address: l.address, Want: l.server, Got: reply.Server}
	}
	now := r.o.Clock.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	l.open = true
	l.outbox = peer.Batch{Suspects: r.suspects.Entries(now)}
	l.signal()
	l.heard(reply.Version)
	if r.membership.Answered(l.server, reply.Incarnation) {
		r.o.Logger.Log(event.AgentReady, "server", l.server, "incarnation", reply.Incarnation)
		r.do(r.dispatch.AgentReady(now, l.server))
	}
	return peer.NewSession(r.id, reply.Incarnation), nil
}

// close ends a session: what the agent held for this router is void.
func (l *link) close(ctx context.Context, err error) {
	r := l.r
	now := r.o.Clock.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	if !l.open {
		return
	}
	l.open = false
	if ctx.Err() != nil {
		return
	}
	r.o.Logger.Log(event.AgentSilent, "server", l.server, "error", err)
	r.membership.Lost(l.server)
	r.cutStreams(l.server)
	r.do(r.dispatch.AgentLost(now, l.server))
}

// fetchOffers waits for offers until the session breaks.
func (l *link) fetchOffers(ctx context.Context, client *rpc.Client, ids peer.Session) error {
	for ctx.Err() == nil {
		var reply peer.OffersReply
		args := peer.OffersArgs{Version: l.r.version()}
		if err := invoke(ctx, client, "Offers", args, &reply); err != nil {
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
		l.take(reply, offers, refused)
	}
	return ctx.Err()
}

// take follows an agent's state, with the offers and the ids of refused requests that came with it.
func (l *link) take(reply peer.OffersReply, offers []ticket.Offer, refused []string) {
	r := l.r
	r.learn(l.server, reply.Suspects)
	now := r.o.Clock.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.links[l.server] != l {
		return
	}
	l.heard(reply.Version)
	before, _ := r.board.Peer(l.server)
	state := r.membership.Reported(l.server, reply.Load, reply.Slots, reply.Draining, reply.Down)
	for _, id := range refused {
		r.dispatch.TicketRefused(now, l.server, id)
	}
	l.answerOffers(now, before.State, offers)
	if state == board.Leaving && before.State != board.Leaving {
		r.o.Logger.Log(event.AgentLeaving, "server", l.server, "source", "agent")
	}
	if state != board.Ready {
		r.do(r.dispatch.AgentLeaving(now, l.server))
		return
	}
	if before.State == board.Down {
		r.do(r.dispatch.AgentReady(now, l.server))
	}
	if reply.Free > 0 {
		r.do(r.dispatch.AgentIdle(now, l.server, reply.Free))
	}
}

// sendBatches sends what is in the outbox until the session breaks.
func (l *link) sendBatches(ctx context.Context, client *rpc.Client, ids peer.Session) error {
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

// exchange sends one batch and takes the agent's refusals.
func (l *link) exchange(ctx context.Context, client *rpc.Client, ids peer.Session, batch peer.Batch) error {
	args, err := ids.Pack(batch)
	if err != nil {
		return err
	}
	var reply peer.ExchangeReply
	if err := invoke(ctx, client, "Exchange", args, &reply); err != nil {
		return err
	}
	refused, err := ids.UnpackRequests(reply.Refused)
	if err != nil {
		return err
	}
	l.refused(refused)
	return nil
}

// takeOutbox returns what is to be sent.
func (l *link) takeOutbox() peer.Batch {
	l.r.mu.Lock()
	defer l.r.mu.Unlock()
	batch := l.outbox
	l.outbox = peer.Batch{}
	return batch
}

func (l *link) refused(requests []string) {
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

// signal makes the link send its outbox; callers hold the router's mu.
func (l *link) signal() {
	select {
	case l.wake <- struct{}{}:
	default:
	}
}

// send puts an action for the agent into the outbox; callers hold the router's mu.
func (l *link) send(a dispatch.Action) {
	if !l.open {
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
	l.signal()
}

// withdraw takes back a ticket: one that was not sent yet is dropped, but it may be the renewal of one that
// was. An agent handles a batch's withdrawals before its tickets.
func (l *link) withdraw(request string) {
	l.outbox.Leave = slices.DeleteFunc(l.outbox.Leave, func(t ticket.Ticket) bool { return t.Request == request })
	l.outbox.Withdraw = append(l.outbox.Withdraw, request)
}

// invoke calls an agent's method and gives up after callTimeout or when ctx ends.
func invoke(ctx context.Context, client *rpc.Client, method string, args, reply any) error {
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

// version returns the configuration version in force.
func (r *Router) version() int64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.board.Version()
}
