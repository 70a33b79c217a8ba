package agent

import (
	"fmt"
	"time"

	"github.com/laburnumring/laburnumring/internal/peer"
)

// calls is the agent's net/rpc service on one connection.
type calls struct {
	a *Agent
	// session is the one that was opened on the connection, if any; guarded by the agent's mu.
	session *session
}

// Hello opens a router's session.
func (c *calls) Hello(args peer.HelloArgs, reply *peer.HelloReply) error {
	a := c.a
	now := a.o.Clock.Now()
	a.mu.Lock()
	defer a.mu.Unlock()
	if _, ok := a.sessions[args.Router]; ok {
		a.admission.DropRouter(now, args.Router)
	}
	s := newSession(args.Router, now)
	for _, e := range a.suspects.Entries(now) {
		s.suspects = append(s.suspects, e.Fingerprint)
	}
	a.sessions[args.Router] = s
	c.session = s
	reply.Server = a.o.Server.Name()
	reply.Incarnation = a.o.Incarnation
	reply.Version = a.board.Version()
	return nil
}

// Exchange takes a batch of tickets, withdrawals and declined offers.
func (c *calls) Exchange(args peer.ExchangeArgs, reply *peer.ExchangeReply) error {
	a := c.a
	now := a.o.Clock.Now()
	a.mu.Lock()
	defer a.mu.Unlock()
	s, ok := a.sessions[args.Router]
	if !ok {
		return fmt.Errorf("router %s has no session", args.Router)
	}
	s.seen = now
	a.learn(now, args.Router, args.Suspects)
	for _, id := range args.Decline {
		a.admission.WithdrawOffer(now, id)
	}
	for _, id := range args.Withdraw {
		a.admission.Withdraw(now, refOf(args.Router, id))
	}
	for _, t := range args.Leave {
		if !a.admission.Leave(now, args.Router, t) {
			reply.Refused = append(reply.Refused, t.Request)
			a.remind(now, s, t.Fingerprint)
		}
	}
	a.tellEvicted()
	a.fill(now)
	a.wakeIdle()
	return nil
}

// tellEvicted lets routers know of tickets that gave way to older ones; callers hold mu.
func (a *Agent) tellEvicted() {
	for _, ref := range a.admission.Evicted() {
		if s, ok := a.sessions[ref.Router]; ok {
			s.evicted = append(s.evicted, ref.Request)
			s.notify()
		}
	}
}

// Offers waits for offers to the router.
func (c *calls) Offers(args peer.OffersArgs, reply *peer.OffersReply) error {
	a := c.a
	a.mu.Lock()
	defer a.mu.Unlock()
	s, ok := a.sessions[args.Router]
	if !ok {
		return fmt.Errorf("router %s has no session", args.Router)
	}
	if len(s.outbox)+len(s.suspects)+len(s.evicted) == 0 {
		a.await(s)
	}
	if a.hasEnded() {
		return errEnded
	}
	s.seen = a.o.Clock.Now()
	reply.Suspects = a.news(s.seen, s)
	reply.Offers = s.outbox
	s.outbox = nil
	reply.Refused = s.evicted
	s.evicted = nil
	reply.Load = a.admission.InUse() + a.admission.Waiting()
	reply.Slots = a.o.Server.Slots()
	if a.admission.Waiting() == 0 && !a.o.Policy.Pushes() {
		reply.Free = a.admission.Free()
	}
	reply.Down = !a.serverUp
	reply.Draining = a.admission.Draining()
	reply.Version = a.board.Version()
	return nil
}

// await releases mu until the session has something to fetch or the wait is over; callers hold mu.
func (a *Agent) await(s *session) {
	wake := s.wake
	s.waiting++
	a.mu.Unlock()
	t := time.NewTimer(offersWait)
	defer t.Stop()
	select {
	case <-wake:
	case <-a.ended:
	case <-t.C:
	}
	a.mu.Lock()
	s.waiting--
}

// WithdrawOffer stops an offer that has not started and tells its state.
func (c *calls) WithdrawOffer(args peer.WithdrawArgs, reply *peer.WithdrawReply) error {
	a := c.a
	now := a.o.Clock.Now()
	a.mu.Lock()
	defer a.mu.Unlock()
	reply.State = a.admission.WithdrawOffer(now, args.Offer)
	a.fill(now)
	return nil
}
