package direct

import (
	"context"
	"fmt"
	"strings"

	"github.com/laburnumring/laburnumring"
	"github.com/laburnumring/laburnumring/internal/event"
	"github.com/laburnumring/laburnumring/internal/gossip"
	"github.com/laburnumring/laburnumring/pkg/clock"
)

// followServers keeps the list of backend servers up to date.
func (r *Router) followServers(ctx context.Context) {
	for ctx.Err() == nil {
		if !r.lookDue() && !r.mayRead(ctx, r.listReads) {
			continue
		}
		r.readServers(ctx)
	}
}

// readServers reads the list once.
func (r *Router) readServers(ctx context.Context) {
	bounded, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	began := r.o.Clock.Now()
	l, err := r.o.Servers.Servers(bounded)
	switch {
	case ctx.Err() != nil:
	case err == nil:
		r.setServers(l, began)
	case bounded.Err() != nil:
		// The store may have returned at any time after the call.
		r.listFailed(began, err)
	default:
		r.listFailed(r.o.Clock.Now(), err)
	}
}

// lookDue gives up servers that are missing from the list for too long, and reports whether the list is to be read
// before.
func (r *Router) lookDue() bool {
	now := r.o.Clock.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.roster.Expire(now) {
		r.serversChanged("expiry")
	}
	return r.roster.FinalReadDue(now)
}

// listFailed records that a read of the list failed; at is the last moment at which the store is known to have been away.
func (r *Router) listFailed(at clock.Millis, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.listReads.Failed()
	r.roster.ReadFailed(at)
	r.tellListNews()
	if !r.unlisted {
		r.o.Logger.Log(event.ListUnreachable, "revision", r.roster.Revision(), "error", err)
	}
	r.listed, r.unlisted = false, true
}

// setServers takes a list whose read began at the given time.
func (r *Router) setServers(l laburnumring.ServerList, began clock.Millis) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.listReads.Read(began)
	if !r.listed {
		r.o.Logger.Log(event.ListReachable, "revision", l.Revision)
	}
	r.listed, r.unlisted = true, false
	if r.roster.Apply(r.o.Clock.Now(), l, began) {
		r.serversChanged("platform")
	}
	r.tellListNews()
}

// tellListNews wakes what waits for the list; callers hold mu.
func (r *Router) tellListNews() {
	close(r.listNews)
	r.listNews = make(chan struct{})
}

// listYoung reports whether the list may be sent by: it is young, or no router can read a newer one.
func (r *Router) listYoung() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.listUsable(r.o.Clock.Now())
}

// listUsable is listYoung for callers that hold mu.
func (r *Router) listUsable(now clock.Millis) bool {
	age := r.listAge(now)
	return age != gossip.UnknownAge && age <= maxSendAge || r.roster.StoreUnavailable(now)
}

// awaitList waits until the list may be sent by. It reports false when ctx has ended or the wait became too long.
func (r *Router) awaitList(ctx context.Context) bool {
	if r.listYoung() {
		return true
	}
	ctx, cancel := context.WithTimeout(ctx, maxListWait)
	defer cancel()
	for {
		r.mu.Lock()
		news := r.listNews
		r.mu.Unlock()
		if r.listYoung() {
			return true
		}
		select {
		case <-news:
		case <-ctx.Done():
			return false
		}
	}
}

// serversChanged tells the decisions of a change; callers hold mu.
func (r *Router) serversChanged(source string) {
	ready := r.roster.Servers()
	came, went := difference(r.ready, ready)
	r.ready, r.listSource = ready, source
	r.intake.SetServers(ready)
	r.o.Logger.Log(event.ServersChanged, "revision", r.roster.Revision(), "ready", len(ready), "source", source,
		"came", named(came), "went", named(went), "kept", r.roster.RetainedCount(),
		"list_age_ms", int64(r.listAge(r.o.Clock.Now())))
	r.decide()
}

// listAge returns how long ago the list that is held was last known to be the newest; Unread when it never was. Callers
// hold mu.
func (r *Router) listAge(now clock.Millis) clock.Millis {
	at := r.listReads.Newest()
	return orUnread(now-at, at > 0)
}

// difference returns the ids that are only in the second and only in the first of two lists sorted by id.
func difference(before, after []laburnumring.ServerEntry) (came, went []string) {
	i := 0
	for _, e := range after {
		for ; i < len(before) && before[i].ID < e.ID; i++ {
			went = append(went, before[i].ID)
		}
		if i < len(before) && before[i].ID == e.ID {
			i++
			continue
		}
		came = append(came, e.ID)
	}
	for _, e := range before[i:] {
		went = append(went, e.ID)
	}
	return came, went
}

// maxNamed bounds the servers that one log line names.
const maxNamed = 16

func named(ids []string) string {
	if len(ids) > maxNamed {
		return fmt.Sprintf("%s and %d more", strings.Join(ids[:maxNamed], ","), len(ids)-maxNamed)
	}
	return strings.Join(ids, ",")
}
