package agent

import (
	"errors"
	"time"

	"github.com/laburnumring/laburnumring/internal/peer"
	"github.com/laburnumring/laburnumring/pkg/clock"
)

// errNoSession answers a call on a connection that has no session, or none any more.
var errNoSession = errors.New("the connection has no session")

// calls is the agent's net/rpc service on one connection.
type calls struct {
	a *Agent
	// session is the one that was opened on the connection, if any; guarded by the agent's mu.
	session *session
}

// standing returns the connection's session as long as it stands; callers hold the agent's mu.
func (c *calls) standing() (*session, error) {
	if c.session == nil || c.a.sessions[c.session.router] != c.session {
		return nil, errNoSession
	}
	return c.session, nil
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
	s := newSession(args.Router, a.o.Incarnation, now)
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
	s, err := c.standing()
	if err != nil {
		return err
	}
	batch, err := s.ids.Unpack(args)
	if err != nil {
		return err
	}
	if err := a.checkOwned(s, batch.Decline); err != nil {
		return err
	}
	s.seen = now
	refused := a.apply(now, s, batch)
	a.tellEvicted()
	a.fill(now)
	a.wakeIdle()
	reply.Refused, err = s.ids.PackRequests(refused)
	return err
}

// checkOwned returns a *peer.ForeignIDError when one of the offers was made to another router; callers hold mu.
func (a *Agent) checkOwned(s *session, offers []string) error {
	for _, id := range offers {
		if router := a.admission.RouterOf(id); router != "" && router != s.router {
			return &peer.ForeignIDError{ID: id, Owner: s.router}
		}
	}
	return nil
}

// apply carries out a batch and returns the requests whose tickets are refused; callers hold mu.
func (a *Agent) apply(now clock.Millis, s *session, batch peer.Batch) []string {
	a.learn(now, s.router, batch.Suspects)
	for _, id := range batch.Decline {
		a.admission.WithdrawOffer(now, id)
	}
	for _, id := range batch.Withdraw {
		a.admission.WithdrawTicket(now, refOf(s.router, id))
	}
	var refused []string
	for _, t := range batch.Leave {
		if !a.admission.AddTicket(now, s.router, t) {
			refused = append(refused, t.Request)
			a.remind(now, s, t.Fingerprint)
		}
	}
	return refused
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
func (c *calls) Offers(_ peer.OffersArgs, reply *peer.OffersReply) error {
	a := c.a
	a.mu.Lock()
	defer a.mu.Unlock()
	s, err := c.standing()
	if err != nil {
		return err
	}
	if len(s.outbox)+len(s.suspects)+len(s.evicted) == 0 {
		a.await(s)
	}
	if a.hasEnded() {
		return errEnded
	}
	s.seen = a.o.Clock.Now()
	reply.Suspects = a.news(s.seen, s)
	if err := s.unload(reply); err != nil {
		return err
	}
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
