package direct

import (
	"context"
	"fmt"
	"strings"

	"github.com/laburnumring/laburnumring"
	"github.com/laburnumring/laburnumring/internal/event"
	"github.com/laburnumring/laburnumring/internal/gossip"
	"github.com/laburnumring/laburnumring/internal/interval"
	"github.com/laburnumring/laburnumring/pkg/clock"
)

// followServers keeps the list of backend servers up to date until ctx ends.
func (r *Router) followServers(ctx context.Context) {
	for ctx.Err() == nil {
		if !r.finalReadDue() && !r.readDue(ctx, r.listReads, r.listWanted) {
			continue
		}
		pause := recordPause
		if !r.readServers(ctx) {
			pause = maxReadWait
		}
		// Requests that want the list wake this loop each time.
		interval.Sleep(ctx, pause)
	}
}

// readServers reads the list once. It returns false if that fails.
func (r *Router) readServers(ctx context.Context) bool {
	readCtx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	began := r.o.Clock.Now()
	l, err := r.o.Servers.Servers(readCtx)
	switch {
	case ctx.Err() != nil:
	case err == nil:
		r.setServers(l, began)
	case readCtx.Err() != nil:
		// The store may have become available again at any time after the call started.
		r.listFailed(began, err)
	default:
		r.listFailed(r.o.Clock.Now(), err)
	}
	return err == nil
}

// finalReadDue drops retained servers that have been missing from the list for too long, and reopens places whose records
// the store has lost for good. It reports whether the list must be read once more before servers are dropped.
func (r *Router) finalReadDue() bool {
	now := r.o.Clock.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.evacuationsChanged(r.evacuated.Expire(now), "expiry")
	if r.roster.Expire(now) {
		r.serversChanged("expiry")
	}
	return r.roster.FinalReadDue(now)
}

// listFailed records that a read of the list failed; at is the last moment at which the store is known to have been
// unavailable.
func (r *Router) listFailed(at clock.Millis, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.listReads.Failed()
	r.roster.ReadFailed(at)
	r.notifyListUpdated()
	if !r.listUnreachable {
		r.o.Logger.Log(event.ListUnreachable, "revision", r.roster.Revision(), "error", err)
	}
	r.listReachable, r.listUnreachable = false, true
}

// setServers applies a list whose read began at the given time.
func (r *Router) setServers(l laburnumring.ServerList, began clock.Millis) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.listReads.Succeeded(began)
	if !r.listReachable {
		r.o.Logger.Log(event.ListReachable, "revision", l.Revision)
	}
	r.listReachable, r.listUnreachable = true, false
	r.applyServers(l, began, "platform")
	r.notifyListUpdated()
}

// applyServers applies a list that was the platform's newest at the given time. The caller holds mu.
func (r *Router) applyServers(l laburnumring.ServerList, at clock.Millis, source string) {
	era := r.roster.Era()
	changed := r.roster.Apply(r.o.Clock.Now(), l, at)
	if r.roster.Era() > era {
		r.o.Logger.Log(event.StoreRestored, "era", r.roster.Era(), "before", era, "revision", r.roster.Revision(),
			"source", source, "withheld", r.roster.WithheldCount(), "kept", r.roster.RetainedCount())
		r.lineage.Restored(r.o.Clock.Now(), r.roster.Era())
		wake(r.record.admissionWanted)
		r.evidence.recorded = false
		if r.abortRead != nil && r.evacuated.Recorded() {
			r.abortRead(errStoreRestored)
		}
	}
	r.updateCold()
	if changed {
		r.serversChanged(source)
	}
}

// notifyListUpdated verifies the origins of streams and wakes the requests that wait for the list. The caller holds mu.
func (r *Router) notifyListUpdated() {
	r.verifyOrigins(r.o.Clock.Now())
	close(r.listUpdated)
	r.listUpdated = make(chan struct{})
}

// listUsable reports whether requests may be sent to the servers of the list: it is recent enough, or no router can
// read a newer one. A router that starts must know the evacuated places first.
func (r *Router) listUsable() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.listUsableLocked(r.o.Clock.Now())
}

// listUsableLocked is listUsable for callers that hold mu.
func (r *Router) listUsableLocked(now clock.Millis) bool {
	if !r.evacuated.Known() {
		return false
	}
	age := r.listAge(now)
	return age != gossip.UnknownAge && age <= maxSendListAge || r.roster.StoreUnavailable(now)
}

// awaitList waits until the list is usable. It returns false if ctx has ended or the wait took longer than maxListWait.
func (r *Router) awaitList(ctx context.Context) bool {
	if r.listUsable() {
		return true
	}
	ctx, cancel := context.WithTimeout(ctx, maxListWait)
	defer cancel()
	for {
		r.mu.Lock()
		updated := r.listUpdated
		r.mu.Unlock()
		if r.listUsable() {
			return true
		}
		select {
		case <-updated:
		case <-ctx.Done():
			return false
		}
	}
}

// serversChanged applies a change of the servers to the decisions. The caller holds mu.
func (r *Router) serversChanged(source string) {
	ready := r.roster.Servers()
	added, removed := difference(r.readyServers, ready)
	r.readyServers, r.listSource = ready, source
	for _, id := range added {
		delete(r.unreadyAt, id)
	}
	for _, id := range removed {
		r.unreadyAt[id] = r.o.Clock.Now()
	}
	usable := r.setUsableServers()
	r.lineage.SetList(r.o.Clock.Now(), r.roster.Known())
	r.intake.SetAdmitted(r.lineage.Admitted(r.o.Clock.Now()))
	if len(r.lineage.Unadmitted()) > 0 {
		wake(r.record.admissionWanted)
	}
	r.o.Logger.Log(event.ServersChanged, "revision", r.roster.Revision(), "ready", usable, "source", source,
		"came", joinIDs(added), "went", joinIDs(removed), "kept", r.roster.RetainedCount(),
		"list_age_ms", int64(r.listAge(r.o.Clock.Now())))
	r.deliverDecisions()
}

// listAge returns how long ago the list was last known to be the newest, or an unknown age if it never was. The caller
// holds mu.
func (r *Router) listAge(now clock.Millis) clock.Millis {
	at := r.listReads.NewestAt()
	return ageOrUnknown(now-at, at > 0)
}

// difference returns the ids that are only in the second and those that are only in the first of two lists sorted by
// id.
func difference(before, after []laburnumring.ServerEntry) (added, removed []string) {
	i := 0
	for _, e := range after {
		for ; i < len(before) && before[i].ID < e.ID; i++ {
			removed = append(removed, before[i].ID)
		}
		if i < len(before) && before[i].ID == e.ID {
			i++
			continue
		}
		added = append(added, e.ID)
	}
	for _, e := range before[i:] {
		removed = append(removed, e.ID)
	}
	return added, removed
}

// maxLoggedIDs is the maximum number of servers that one log line names.
const maxLoggedIDs = 16

func joinIDs(ids []string) string {
	if len(ids) > maxLoggedIDs {
		return fmt.Sprintf("%s and %d more", strings.Join(ids[:maxLoggedIDs], ","), len(ids)-maxLoggedIDs)
	}
	return strings.Join(ids, ",")
}
