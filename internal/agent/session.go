package agent

import (
	"github.com/laburnumring/laburnumring/internal/ticket"
	"github.com/laburnumring/laburnumring/pkg/clock"
)

// session is one router's standing with the agent.
type session struct {
	router string
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

func newSession(router string, now clock.Millis) *session {
	return &session{router: router, wake: make(chan struct{}), seen: now}
}

func (s *session) notify() {
	close(s.wake)
	s.wake = make(chan struct{})
}
