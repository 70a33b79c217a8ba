package router

import (
	"context"
	"slices"

	"github.com/laburnumring/laburnumring/internal/interval"
	"github.com/laburnumring/laburnumring/pkg/clock"
)

// linkUpdateInterval is the interval between updates of the subsets and their links.
const linkUpdateInterval = 100 * clock.Millis(1)

// subsetLoop periodically passes each service's longest wait to the subset controller and updates the links.
func (r *Router) subsetLoop(ctx context.Context) {
	interval.Every(ctx, linkUpdateInterval.Duration(), func() {
		now := r.o.Clock.Now()
		r.mu.Lock()
		defer r.mu.Unlock()
		for _, service := range r.subset.Services() {
			r.subset.RecordOldestWait(now, service, r.dispatch.OldestWait(now, service))
		}
		r.updateLinks(now)
	})
}

// updateLinks opens links to the servers of the subsets and closes all others. It must be called with mu held.
func (r *Router) updateLinks(now clock.Millis) {
	var wanted []string
	for _, service := range r.subset.Services() {
		wanted = append(wanted, r.subset.Servers(service)...)
	}
	for _, name := range wanted {
		if _, ok := r.links[name]; !ok {
			r.openLink(name)
		}
	}
	if len(r.links) == len(wanted) {
		return
	}
	slices.Sort(wanted)
	for name := range r.links {
		if _, ok := slices.BinarySearch(wanted, name); !ok {
			r.closeLink(now, name)
		}
	}
}

// openLink starts a link to a server's agent. It must be called with mu held.
func (r *Router) openLink(name string) {
	p, ok := r.board.Peer(name)
	if !ok {
		return
	}
	l := newLink(r, name, p.Address)
	r.links[name] = l
	ctx, cancel := context.WithCancel(r.linkCtx)
	l.stop = cancel
	r.linkWG.Go(func() { l.run(ctx) })
}

// closeLink ends the link to a server's agent and leaves the tickets that it held with other agents. It must be
// called with mu held.
func (r *Router) closeLink(now clock.Millis, name string) {
	l, ok := r.links[name]
	if !ok {
		return
	}
	l.stop()
	delete(r.links, name)
	r.membership.SessionLost(name)
	r.execute(r.dispatch.AgentLost(now, name))
}
