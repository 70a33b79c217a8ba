// Package roster determines which backend servers may get work, from the platform's server list and from what routers
// observe: outages of the store that holds the list, recoveries of the store from a backup, servers that say that they
// leave, and addresses that now belong to another server.
//
// The entries of servers expire while the store is unavailable. After such an outage the roster therefore retains
// servers that are missing from the list until they have had time to register again. A list recovered from a backup
// lacks the latest changes; servers that left in that time get no work again.
package roster

import (
	"cmp"
	"maps"
	"slices"

	"github.com/laburnumring/laburnumring"
	"github.com/laburnumring/laburnumring/pkg/clock"
)

const (
	// minOutage is the minimum time without a successful read of the list by any router that counts as an outage of
	// the store. Routers share their reads, so one succeeds more often than that.
	minOutage = 1500 * clock.Millis(1)
	// retainTime is how long after the last failed read an entry may be missing. Servers whose entries expired
	// register again within two seconds of the store's return (the platform's page on service discovery), which may
	// come 0.8 seconds after that read. Three seconds after its return the platform's limits apply again.
	retainTime = 2800 * clock.Millis(1)
	// failureTTL is how long a failed read counts as the current state of the store. It covers two reads.
	failureTTL = 1600 * clock.Millis(1)
	// finalReadLead is how long before the retained entries are removed the list is read once more.
	finalReadLead = 100 * clock.Millis(1)
)

// Roster holds the servers of the platform's list and those retained after an outage. It is not safe for concurrent
// use.
type Roster struct {
	// listed holds the servers of the newest list by id, exactly as the platform reports them at revision.
	listed   map[string]laburnumring.ServerEntry
	revision int64
	// currentAt is the latest time at which the list is known to have been the platform's newest.
	currentAt clock.Millis
	// retained holds ready servers whose entries may have expired in an outage. No id is both listed and retained.
	retained map[string]laburnumring.ServerEntry
	// lastRead is when any router last read the list, lastFailure when a read of this router last failed.
	lastRead    clock.Millis
	lastFailure clock.Millis
	// outageEnd is when the last outage ended. The servers retained since then are removed at retainUntil.
	outageEnd   clock.Millis
	retainUntil clock.Millis
	// finalReadRequested is set once the final read before retainUntil was requested.
	finalReadRequested bool
	// era is the era of the newest list.
	era int64
	// departures holds the servers that are known to leave, whatever the list says, by id.
	departures map[string]Departure
	// unlisted holds the servers that are missing from the newest list by id, with their last entry. withheld holds
	// those that are listed again by a recovered list only; they get no work yet.
	unlisted map[string]unlisted
	withheld map[string]unlisted
	// reassigned holds servers whose address another server has now, with the entry that was wrong.
	reassigned map[string]laburnumring.ServerEntry
}

// New returns an empty roster.
func New() *Roster {
	return &Roster{
		listed:     make(map[string]laburnumring.ServerEntry),
		retained:   make(map[string]laburnumring.ServerEntry),
		reassigned: make(map[string]laburnumring.ServerEntry),
		departures: make(map[string]Departure),
		unlisted:   make(map[string]unlisted),
		withheld:   make(map[string]unlisted),
	}
}

// Revision returns the revision of the newest list applied.
func (r *Roster) Revision() int64 { return r.revision }

// ReadFailed records that a read of this router failed; at is the last time at which the store is known to have been
// unavailable. A read that began in an outage may fail after a peer has reported the end of the outage. The removal
// of retained servers is then postponed.
func (r *Roster) ReadFailed(at clock.Millis) {
	r.lastFailure = max(r.lastFailure, at)
	if at <= r.outageEnd && at+retainTime > r.retainUntil {
		r.retainUntil, r.finalReadRequested = at+retainTime, false
	}
}

// ReadSucceeded records that some router read the list at the given time, whatever its revision. If that ends an
// outage, it sets the time until which servers are retained.
func (r *Roster) ReadSucceeded(at clock.Millis) {
	if r.outageUntil(at) {
		r.outageEnd, r.retainUntil, r.finalReadRequested = at, r.lastFailure+retainTime, false
	}
	r.lastRead = max(r.lastRead, at)
}

// outageUntil reports whether the store has been unavailable to all routers for at least minOutage until the given
// time.
func (r *Roster) outageUntil(at clock.Millis) bool {
	return r.lastFailure > r.lastRead && at-r.lastRead >= minOutage
}

// StoreUnavailable reports whether the store is unavailable to all routers, as confirmed by a recent failed read of
// this router.
func (r *Roster) StoreUnavailable(now clock.Millis) bool {
	return r.outageUntil(now) && now-r.lastFailure <= failureTTL
}

// sameEntry reports whether two entries differ in nothing but what each heartbeat of a server changes.
func sameEntry(a, b laburnumring.ServerEntry) bool {
	return a.WithoutHeartbeat() == b.WithoutHeartbeat()
}

// Apply replaces the servers by a list that was the platform's newest at the time at, and reports whether anything
// other than heartbeats changed. Ready servers that were listed before an outage and are missing after it are retained for a while. A list
// older than the current one changes no server.
func (r *Roster) Apply(now clock.Millis, l laburnumring.ServerList, at clock.Millis) bool {
	r.ReadSucceeded(at)
	if l.Revision < r.revision {
		return false
	}
	before, retainedBefore, withheldBefore := r.all(), len(r.retained), len(r.withheld)
	if l.Era > r.era && r.revision > 0 {
		r.recovered(now, l)
	}
	mayHaveExpired := r.currentAt < r.outageEnd && now < r.retainUntil
	for id, e := range r.listed {
		if mayHaveExpired && e.State == laburnumring.ServerReady {
			r.retained[id] = e
		}
	}
	listed := make(map[string]laburnumring.ServerEntry, len(l.Entries))
	for _, e := range l.Entries {
		listed[e.ID] = e
		delete(r.retained, e.ID)
	}
	r.trackUnlisted(now, listed)
	r.listed = listed
	r.revision, r.era, r.currentAt = l.Revision, max(r.era, l.Era), max(r.currentAt, at)
	after := r.all()
	maps.DeleteFunc(r.reassigned, func(id string, e laburnumring.ServerEntry) bool { return !sameEntry(after[id], e) })
	return !maps.EqualFunc(before, after, sameEntry) || len(r.retained) != retainedBefore || len(r.withheld) != withheldBefore
}

// FinalReadDue reports, once, whether it is time to read the list a final time before retained servers are removed.
func (r *Roster) FinalReadDue(now clock.Millis) bool {
	if r.finalReadRequested || len(r.retained) == 0 || now < r.retainUntil-finalReadLead {
		return false
	}
	r.finalReadRequested = true
	return true
}

// Expire removes retained servers that have had time to register again, releases withheld servers whose entries should
// have disappeared by now, and reports whether there were any of either.
func (r *Roster) Expire(now clock.Millis) bool {
	n := len(r.withheld)
	maps.DeleteFunc(r.withheld, func(_ string, u unlisted) bool { return now-u.at >= withholdTime })
	released := len(r.withheld) < n
	if len(r.retained) == 0 || now < r.retainUntil || r.outageUntil(now) {
		return released
	}
	clear(r.retained)
	return true
}

// AddressReassigned records that another server responded at the server's address. The server gets no work until its
// entry changes.
func (r *Roster) AddressReassigned(id string) {
	if e, ok := r.all()[id]; ok {
		r.reassigned[id] = e
	}
}

// all returns the listed and the retained servers.
func (r *Roster) all() map[string]laburnumring.ServerEntry {
	out := maps.Clone(r.listed)
	maps.Copy(out, r.retained)
	return out
}

// Servers returns the servers that may get work, sorted by id.
func (r *Roster) Servers() []laburnumring.ServerEntry {
	var out []laburnumring.ServerEntry
	for id, e := range r.all() {
		_, wrong := r.reassigned[id]
		_, withheld := r.withheld[id]
		if !wrong && !withheld && !r.departed(e) && e.State == laburnumring.ServerReady {
			out = append(out, e)
		}
	}
	sortByID(out)
	return out
}

// Known returns the listed and the retained servers, whatever their state, in no particular order.
func (r *Roster) Known() []laburnumring.ServerEntry { return slices.Collect(maps.Values(r.all())) }

// Entry returns a server's entry in the newest list.
func (r *Roster) Entry(id string) (laburnumring.ServerEntry, bool) {
	e, ok := r.listed[id]
	return e, ok
}

// Retained reports whether a server may get work although it is missing from the newest list.
func (r *Roster) Retained(id string) bool {
	_, ok := r.retained[id]
	return ok
}

// RetainedCount returns the number of retained servers.
func (r *Roster) RetainedCount() int { return len(r.retained) }

// List returns the newest list as the platform reports it, without retained servers.
func (r *Roster) List() laburnumring.ServerList {
	entries := slices.Collect(maps.Values(r.listed))
	sortByID(entries)
	return laburnumring.ServerList{Revision: r.revision, Era: r.era, Entries: entries}
}

func sortByID(entries []laburnumring.ServerEntry) {
	slices.SortFunc(entries, func(a, b laburnumring.ServerEntry) int { return cmp.Compare(a.ID, b.ID) })
}
