package agent

import (
	"github.com/laburnumring/laburnumring/internal/peer"
	"github.com/laburnumring/laburnumring/internal/ticket"
	"github.com/laburnumring/laburnumring/pkg/clock"
)

// session is the agent's state for one router, from the router's Hello until it is silent or its connection ends.
type session struct {
	router string
	// ids converts between full ids and the short ones of the session's messages.
	ids peer.IDCodec
	// outbox holds offers that the router has not fetched.
	outbox []ticket.Offer
	// pendingSuspects holds the fingerprints of suspects whose entries are still to be sent to the router.
	pendingSuspects []uint64
	// evicted holds the router's requests whose tickets were replaced by those of older requests.
	evicted []string
	// wake is closed and replaced when there is something to fetch.
	wake chan struct{}
	// lastCall is when the router last called.
	lastCall clock.Millis
	// waiting is how many of the router's Offers calls are waiting now.
	waiting int
}

func newSession(router, incarnation string, now clock.Millis) *session {
	return &session{router: router, ids: peer.NewIDCodec(router, incarnation), wake: make(chan struct{}), lastCall: now}
}

// notify ends the waits of the router's Offers calls.
func (s *session) notify() {
	close(s.wake)
	s.wake = make(chan struct{})
}

// drainOutbox moves the pending offers and evictions into a reply.
func (s *session) drainOutbox(reply *peer.OffersReply) error {
	offers, evicted := s.outbox, s.evicted
	s.outbox, s.evicted = nil, nil
	var err error
	if reply.Offers, err = s.ids.PackOffers(offers); err != nil {
		return err
	}
	reply.Refused, err = s.ids.PackRequests(evicted)
	return err
}
