package router

import (
	"context"
	"slices"

	"github.com/laburnumring/laburnumring/internal/interval"
	"github.com/laburnumring/laburnumring/pkg/clock"
)

// relinkInterval is the time between two looks at the subsets, in milliseconds.
const relinkInterval = 100 * clock.Millis(1)

// subsetLoop keeps the links those of the router's subsets.
func (r *Router) subsetLoop(ctx context.Context) {
	interval.Every(ctx, relinkInterval.Duration(), func() {
		now := r.o.Clock.Now()
		r.mu.Lock()
		defer r.mu.Unlock()
		for _, service := range r.subset.Services() {
			r.subset.RecordOldestWait(now, service, r.dispatch.OldestWait(now, service))
		}
		r.relink(now)
	})
}

// relink opens and closes links as the subsets say; callers hold mu.
func (r *Router) relink(now clock.Millis) {
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

// openLink starts a link to a server's agent; callers hold mu.
func (r *Router) openLink(name string) {
	p, ok := r.board.Peer(name)
	if !ok {
		return
	}
	l := newLink(r, name, p.Address)
	r.links[name] = l
	ctx, cancel := context.WithCancel(r.linkContext)
	l.stop = cancel
	r.background.Go(func() { l.run(ctx) })
}

// closeLink ends a link and takes back what its agent held; callers hold mu.
func (r *Router) closeLink(now clock.Millis, name string) {
	l, ok := r.links[name]
	if !ok {
		return
	}
	l.stop()
	delete(r.links, name)
	r.membership.Lost(name)
	r.do(r.dispatch.AgentLost(now, name))
}
