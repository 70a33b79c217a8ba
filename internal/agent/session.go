package agent

import (
	"github.com/laburnumring/laburnumring/internal/peer"
	"github.com/laburnumring/laburnumring/internal/ticket"
	"github.com/laburnumring/laburnumring/pkg/clock"
)

// session is one router's standing with the agent.
type session struct {
	router string
	// ids converts the ids that travel inside the session.
	ids peer.IDCodec
	// outbox holds offers that the router has not fetched.
	outbox []ticket.Offer
	// suspects holds the fingerprints of which the router has not heard.
	suspects []uint64
	// evicted holds the requests of the router whose tickets gave way to older ones.
	evicted []string
	// wake is closed and replaced when there is something to fetch.
	wake chan struct{}
	// seen is when the router last called.
	seen clock.Millis
	// waiting is how many of the router's calls wait for offers now.
	waiting int
}

func newSession(router, incarnation string, now clock.Millis) *session {
	return &session{router: router, ids: peer.NewIDCodec(router, incarnation), wake: make(chan struct{}), seen: now}
}

func (s *session) notify() {
	close(s.wake)
	s.wake = make(chan struct{})
}

// unload moves offers and evictions into a reply.
func (s *session) unload(reply *peer.OffersReply) error {
	offers, evicted := s.outbox, s.evicted
	s.outbox, s.evicted = nil, nil
	var err error
	if reply.Offers, err = s.ids.PackOffers(offers); err != nil {
		return err
	}
	reply.Refused, err = s.ids.PackRequests(evicted)
	return err
}
