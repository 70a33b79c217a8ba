// Package roster keeps the backend servers that may get work, from the platform's list and from what is seen of
// the servers themselves.
package roster

import (
	"cmp"
	"maps"
	"slices"

	"github.com/laburnumring/laburnumring"
	"github.com/laburnumring/laburnumring/pkg/clock"
)

const (
	// silence is the least time in which no router can read the list that counts as an outage of the store. Reads are
	// shared so that one succeeds more often than that.
	silence = 1500 * clock.Millis(1)
	// keepTime is how long after the last read that failed an entry may be missing: servers whose entries lapsed
	// register again within two seconds of the store's return (the platform's page on service discovery), which may come
	// 0.8 seconds after that read. Three seconds after its return the platform's bounds hold again.
	keepTime = 2800 * clock.Millis(1)
	// failureLife is how long a failed read counts as the last that is known. It lasts over two reads.
	failureLife = 1600 * clock.Millis(1)
	// lookTime is how long before entries are given up a last look at the list is due.
	lookTime = 100 * clock.Millis(1)
)

// Roster holds the servers. It is used by one goroutine at a time.
type Roster struct {
	// listed holds the servers of the newest list by id, as the platform has them, at the list's revision.
	listed   map[string]laburnumring.ServerEntry
	revision int64
	// at is the latest moment at which the list is known to have been the newest when it was taken.
	at clock.Millis
	// kept holds ready servers that an outage may have taken off the list. No id is both listed and kept.
	kept map[string]laburnumring.ServerEntry
	// served is when any router last read the list, failed when a read of this one last failed.
	served clock.Millis
	failed clock.Millis
	// ended is when the last outage was over, and until when what is kept since then is given up.
	ended clock.Millis
	until clock.Millis
	// looked says that the last look before until was asked for.
	looked bool
	// misplaced holds servers at whose address another one answered, with the entry that was wrong.
	misplaced map[string]laburnumring.ServerEntry
}

// New returns an empty roster.
func New() *Roster {
	return &Roster{
		listed:    make(map[string]laburnumring.ServerEntry),
		kept:      make(map[string]laburnumring.ServerEntry),
		misplaced: make(map[string]laburnumring.ServerEntry),
	}
}

// Revision returns the revision of the newest list taken.
func (r *Roster) Revision() int64 { return r.revision }

// Failed records that an own read failed; at is the last moment at which the store is known to have been away. A read
// that began in an outage may fail after a peer has reported its end.
func (r *Roster) Failed(at clock.Millis) {
	r.failed = max(r.failed, at)
	if at <= r.ended && at+keepTime > r.until {
		r.until, r.looked = at+keepTime, false
	}
}

// Served records that some router read the list at a time, whatever its revision was.
func (r *Roster) Served(at clock.Millis) {
	if r.away(at) {
		r.ended, r.until, r.looked = at, r.failed+keepTime, false
	}
	r.served = max(r.served, at)
}

// away reports whether the store has been away from all routers until a time.
func (r *Roster) away(at clock.Millis) bool { return r.failed > r.served && at-r.served >= silence }

// Away reports whether the store is away from all routers, by an own read that has failed lately.
func (r *Roster) Away(now clock.Millis) bool { return r.away(now) && now-r.failed <= failureLife }

// Take replaces the servers by a list that was the platform's newest at a time, and reports whether anything changed.
// What was listed before an outage and is missing after it is kept for a while.
func (r *Roster) Take(now clock.Millis, l laburnumring.ServerList, at clock.Millis) bool {
	r.Served(at)
	if l.Revision < r.revision {
		return false
	}
	before, keptBefore := r.all(), len(r.kept)
	mayHaveLapsed := r.at < r.ended && now < r.until
	for id, e := range r.listed {
		if mayHaveLapsed && e.State == laburnumring.ServerReady {
			r.kept[id] = e
		}
	}
	r.listed = make(map[string]laburnumring.ServerEntry, len(l.Entries))
	for _, e := range l.Entries {
		r.listed[e.ID] = e
		delete(r.kept, e.ID)
	}
	r.revision, r.at = l.Revision, max(r.at, at)
	after := r.all()
	maps.DeleteFunc(r.misplaced, func(id string, e laburnumring.ServerEntry) bool { return after[id] != e })
	return !maps.Equal(before, after) || len(r.kept) != keptBefore
}

// LookDue reports once whether it is time for a last look before kept servers are given up.
func (r *Roster) LookDue(now clock.Millis) bool {
	if r.looked || len(r.kept) == 0 || now < r.until-lookTime {
		return false
	}
	r.looked = true
	return true
}

// Expire gives up kept servers that had time to register again, and reports whether there were any.
func (r *Roster) Expire(now clock.Millis) bool {
	if len(r.kept) == 0 || now < r.until || r.away(now) {
		return false
	}
	clear(r.kept)
	return true
}

// Misplaced records that another server answered at a server's address. The server gets no work until its entry
// changes.
func (r *Roster) Misplaced(id string) {
	if e, ok := r.all()[id]; ok {
		r.misplaced[id] = e
	}
}

// all returns the listed and the kept servers.
func (r *Roster) all() map[string]laburnumring.ServerEntry {
	out := maps.Clone(r.listed)
	maps.Copy(out, r.kept)
	return out
}

// Servers returns the servers that may get work, sorted by id.
func (r *Roster) Servers() []laburnumring.ServerEntry {
	var out []laburnumring.ServerEntry
	for id, e := range r.all() {
		if _, wrong := r.misplaced[id]; !wrong && e.State == laburnumring.ServerReady {
			out = append(out, e)
		}
	}
	sort(out)
	return out
}

// Kept reports whether a server may get work though it is missing from the newest list.
func (r *Roster) Kept(id string) bool {
	_, ok := r.kept[id]
	return ok
}

// CountKept returns how many servers are kept.
func (r *Roster) CountKept() int { return len(r.kept) }

// List returns the newest list as the platform has it, without what is kept.
func (r *Roster) List() laburnumring.ServerList {
	entries := slices.Collect(maps.Values(r.listed))
	sort(entries)
	return laburnumring.ServerList{Revision: r.revision, Entries: entries}
}

func sort(entries []laburnumring.ServerEntry) {
	slices.SortFunc(entries, func(a, b laburnumring.ServerEntry) int { return cmp.Compare(a.ID, b.ID) })
}
