package router

import (
	"net/http"

	"github.com/laburnumring/laburnumring/internal/board"
	"github.com/laburnumring/laburnumring/internal/dispatch"
	"github.com/laburnumring/laburnumring/internal/ticket"
	"github.com/laburnumring/laburnumring/pkg/clock"
)

// stoppingRetryAfter is the Retry-After of requests that arrive during a shutdown. By then the platform's load
// balancer has taken the router out of rotation.
const stoppingRetryAfter = 1 * clock.Second

// answerOffers binds requests to an agent's offers. It declines the offers instead when the agent was already
// known to be leaving before they arrived. It must be called with the router's mu held.
func (l *link) answerOffers(now clock.Millis, previous board.PeerState, offers []ticket.Offer) {
	for _, o := range offers {
		if previous == board.Leaving {
			l.send(dispatch.DeclineOffer{Server: l.server, Offer: o.ID})
			continue
		}
		l.r.execute(l.r.dispatch.Offer(now, l.server, o))
	}
}

// beginRequest counts a caller's request as active. It reports false once a shutdown has begun.
func (r *Router) beginRequest() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.stopping {
		return false
	}
	r.activeRequests++
	return true
}

// endRequest undoes a successful beginRequest.
func (r *Router) endRequest() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.activeRequests--
}

// refuseDuringShutdown refuses a request that arrived after a shutdown had begun, and closes the connection so
// that the caller opens a new one.
func refuseDuringShutdown(w http.ResponseWriter) {
	w.Header().Set("Connection", "close")
	writeBadRequest(w, &badRequestError{http.StatusServiceUnavailable, "stopping", "the router is shutting down"})
}

// refuseWaiting ends the requests that are still waiting when a shutdown has reached its time limit.
func (r *Router) refuseWaiting() {
	now := r.o.Clock.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.execute(r.dispatch.EndWaiting(now))
}
