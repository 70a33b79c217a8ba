package router

import (
	"encoding/json"
	"net/http"

	"github.com/laburnumring/laburnumring/internal/board"
	"github.com/laburnumring/laburnumring/internal/status"
)

// serveStatus responds with the router's status report.
func (r *Router) serveStatus(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(r.report())
}

// report returns the router's current status.
func (r *Router) report() status.Report {
	now := r.o.Clock.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	out := status.Report{
		Role: status.RouterRole, Name: r.o.Name, Incarnation: r.o.Incarnation, State: status.Ready,
		Version: r.board.Version(), Teams: []status.Team{}, Servers: []status.Server{},
	}
	if out.Version > 0 {
		out.AgeMs = now - r.inForceSince
	}
	if out.Version == 0 {
		out.State = status.Waiting
	}
	if r.stopping {
		out.State = status.Leaving
	}
	for _, b := range r.dispatch.Backlogs(now) {
		out.Teams = append(out.Teams, status.Team{
			Team: b.Team, Service: b.Service, Backlog: b.Requests, OldestWaitMs: b.OldestWait,
		})
	}
	for _, p := range r.board.Peers() {
		if _, linked := r.links[p.Server]; linked {
			out.Servers = append(out.Servers, serverStatus(p))
		}
	}
	return out
}

// serverStatus returns the entry of a peer in the status report.
func serverStatus(p board.Peer) status.Server {
	v := status.Server{
		Server: p.Server, Service: p.Service, Place: p.Place, State: status.Silent, Slots: p.Slots, Limit: p.Slots, Busy: min(p.Load, p.Slots),
	}
	switch p.State {
	case board.Ready:
		v.State = status.Ready
	case board.Leaving:
		v.State = status.Leaving
	default:
		v.Busy = 0
	}
	return v
}
