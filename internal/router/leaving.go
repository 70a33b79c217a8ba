package router

import (
	"net/http"

	"github.com/laburnumring/laburnumring/internal/board"
	"github.com/laburnumring/laburnumring/internal/dispatch"
	"github.com/laburnumring/laburnumring/internal/ticket"
	"github.com/laburnumring/laburnumring/pkg/clock"
)

// stoppingRetryAfter is when a caller that met a router in shutdown should come back; the platform's balancer
// has noticed by then.
const stoppingRetryAfter = 1 * clock.Second

// answerOffers binds requests to an agent's offers, or declines them all when the agent was known to be
// leaving before they came; callers hold the router's mu.
func (l *link) answerOffers(now clock.Millis, before board.PeerState, offers []ticket.Offer) {
	for _, o := range offers {
		if before == board.Leaving {
			l.send(dispatch.DeclineOffer{Server: l.server, Offer: o.ID})
			continue
		}
		l.r.do(l.r.dispatch.Offer(now, l.server, o))
	}
}

// enter counts a caller's request as in progress. It reports false once a shutdown has begun.
func (r *Router) enter() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.stopping {
		return false
	}
	r.inbound++
	return true
}

// leave ends what enter began.
func (r *Router) leave() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.inbound--
}

// refuseStopping turns a request away that came after a shutdown began, and lets the caller connect anew.
func refuseStopping(w http.ResponseWriter) {
	w.Header().Set("Connection", "close")
	refuseBad(w, &badRequestError{http.StatusServiceUnavailable, "stopping", "the router is shutting down"})
}

// endWaiting refuses the requests that still wait when a shutdown has reached its limit.
func (r *Router) endWaiting() {
	now := r.o.Clock.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.do(r.dispatch.EndWaiting(now))
}
