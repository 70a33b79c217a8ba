package agent

import (
	"errors"
	"time"

	"github.com/laburnumring/laburnumring/internal/peer"
	"github.com/laburnumring/laburnumring/pkg/clock"
)

// errNoSession is returned for a call on a connection that never had a session or whose session has ended.
var errNoSession = errors.New("the connection has no session")

// calls is the agent's net/rpc receiver on one connection.
type calls struct {
	a *Agent
	// session is the session that was opened on the connection, or nil. It is guarded by a.mu.
	session *session
}

// currentSession returns the connection's session, or errNoSession when it has none or the session has ended.
// c.a.mu must be held.
func (c *calls) currentSession() (*session, error) {
	if c.session == nil || c.a.sessions[c.session.router] != c.session {
		return nil, errNoSession
	}
	return c.session, nil
}

// Hello opens a router's session, which replaces an earlier one of the same router.
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
		s.pendingSuspects = append(s.pendingSuspects, e.Fingerprint)
	}
	a.sessions[args.Router] = s
	c.session = s
	reply.Server = a.o.Server.Name()
	reply.Incarnation = a.o.Incarnation
	reply.Version = a.board.Version()
	return nil
}

// Exchange applies a batch of tickets, withdrawals and declined offers, and returns the requests whose tickets are
// refused.
func (c *calls) Exchange(args peer.ExchangeArgs, reply *peer.ExchangeReply) error {
	a := c.a
	now := a.o.Clock.Now()
	a.mu.Lock()
	defer a.mu.Unlock()
	s, err := c.currentSession()
	if err != nil {
		return err
	}
	batch, err := s.ids.Unpack(args)
	if err != nil {
		return err
	}
	if err := a.checkOwner(s, batch.Decline); err != nil {
		return err
	}
	s.lastCall = now
	refused := a.apply(now, s, batch)
	a.reportEvictions()
	a.offerFreeSlots(now)
	a.announceFreeSlots()
	reply.Refused, err = s.ids.PackRequests(refused)
	return err
}

// checkOwner returns a *peer.ForeignIDError when one of the offers was made to another router. a.mu must be held.
func (a *Agent) checkOwner(s *session, offers []string) error {
	for _, id := range offers {
		if router := a.admission.RouterOf(id); router != "" && router != s.router {
			return &peer.ForeignIDError{ID: id, Owner: s.router}
		}
	}
	return nil
}

// apply applies a batch and returns the requests whose tickets are refused. a.mu must be held.
func (a *Agent) apply(now clock.Millis, s *session, batch peer.Batch) []string {
	a.mergeSuspects(now, s.router, batch.Suspects)
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
			a.resendConfirmed(now, s, t.Fingerprint)
		}
	}
	return refused
}

// reportEvictions queues the requests whose tickets were replaced by those of older requests for their routers.
// a.mu must be held.
func (a *Agent) reportEvictions() {
	for _, ref := range a.admission.Evicted() {
		if s, ok := a.sessions[ref.Router]; ok {
			s.evicted = append(s.evicted, ref.Request)
			s.notify()
		}
	}
}

// Offers waits for offers or other updates for the router, at most maxOffersWait, and returns them together with
// the agent's state.
func (c *calls) Offers(_ peer.OffersArgs, reply *peer.OffersReply) error {
	a := c.a
	a.mu.Lock()
	defer a.mu.Unlock()
	s, err := c.currentSession()
	if err != nil {
		return err
	}
	if len(s.outbox)+len(s.pendingSuspects)+len(s.evicted) == 0 {
		a.awaitUpdates(s)
	}
	if a.hasStopped() {
		return errStopped
	}
	s.lastCall = a.o.Clock.Now()
	reply.Suspects = a.suspectUpdates(s.lastCall, s)
	if err := s.drainOutbox(reply); err != nil {
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

// awaitUpdates waits until the session has something to fetch, maxOffersWait has passed or the agent has stopped.
// a.mu must be held; it is released during the wait.
func (a *Agent) awaitUpdates(s *session) {
	wake := s.wake
	s.waiting++
	a.mu.Unlock()
	t := time.NewTimer(maxOffersWait)
	defer t.Stop()
	select {
	case <-wake:
	case <-a.stopped:
	case <-t.C:
	}
	a.mu.Lock()
	s.waiting--
}

// WithdrawOffer withdraws an offer whose request has not started, and returns the offer's state. It needs no
// session.
func (c *calls) WithdrawOffer(args peer.WithdrawArgs, reply *peer.WithdrawReply) error {
	a := c.a
	now := a.o.Clock.Now()
	a.mu.Lock()
	defer a.mu.Unlock()
	reply.State = a.admission.WithdrawOffer(now, args.Offer)
	a.offerFreeSlots(now)
	return nil
}
