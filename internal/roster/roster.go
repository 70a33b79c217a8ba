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

// returnGrace is how long after an outage of the list an entry may be missing from it: servers whose entries
// lapsed register again within two seconds (the platform's page on service discovery), and a read may lag.
const returnGrace = 2200 * clock.Millis(1)

// Roster holds the servers. It is used by one goroutine at a time.
type Roster struct {
	// servers holds the listed servers by id.
	servers map[string]laburnumring.ServerEntry
	// kept holds the ids of those that are missing from the newest list.
	kept map[string]bool
	// revision is that of the newest list taken.
	revision int64
	// outage says that the last read failed; returned is when reads succeeded again.
	outage   bool
	returned clock.Millis
	// misplaced holds servers at whose address another one answered, with the entry that was wrong.
	misplaced map[string]laburnumring.ServerEntry
}

// New returns an empty roster.
func New() *Roster {
	return &Roster{
		servers:   make(map[string]laburnumring.ServerEntry),
		misplaced: make(map[string]laburnumring.ServerEntry),
		returned:  -returnGrace,
	}
}

// Revision returns the revision of the newest list taken.
func (r *Roster) Revision() int64 { return r.revision }

// Failed records that the list could not be read. It reports whether it could before.
func (r *Roster) Failed() bool {
	was := r.outage
	r.outage = true
	return !was
}

// Take replaces the servers by a list and reports whether anything changed. Entries that are missing soon after
// an outage are kept for a while, as they may have lapsed with it.
func (r *Roster) Take(now clock.Millis, l laburnumring.ServerList) bool {
	if r.outage {
		r.outage = false
		r.returned = now
	}
	if l.Revision < r.revision {
		return false
	}
	r.revision = l.Revision
	next := make(map[string]laburnumring.ServerEntry, len(l.Entries))
	if now < r.returned+returnGrace {
		maps.Copy(next, r.servers)
	}
	r.kept = make(map[string]bool)
	for id := range next {
		r.kept[id] = true
	}
	for _, e := range l.Entries {
		next[e.ID] = e
		delete(r.kept, e.ID)
	}
	maps.DeleteFunc(r.misplaced, func(id string, e laburnumring.ServerEntry) bool { return next[id] != e })
	if maps.Equal(next, r.servers) {
		return false
	}
	r.servers = next
	return true
}

// TakeFromPeer replaces the servers by a peer's list while this router cannot read its own, and reports whether
// anything changed.
func (r *Roster) TakeFromPeer(l laburnumring.ServerList) bool {
	if l.Revision <= r.revision {
		return false
	}
	r.revision = l.Revision
	r.kept = nil
	next := make(map[string]laburnumring.ServerEntry, len(l.Entries))
	for _, e := range l.Entries {
		next[e.ID] = e
	}
	changed := !maps.Equal(next, r.servers)
	r.servers = next
	return changed
}

// Misplaced records that another server answered at a server's address. The server gets no work until its entry
// changes.
func (r *Roster) Misplaced(id string) {
	if e, ok := r.servers[id]; ok {
		r.misplaced[id] = e
	}
}

// Servers returns the servers that may get work, sorted by id.
func (r *Roster) Servers() []laburnumring.ServerEntry {
	out := make([]laburnumring.ServerEntry, 0, len(r.servers))
	for id, e := range r.servers {
		if _, wrong := r.misplaced[id]; !wrong && e.State == laburnumring.ServerReady {
			out = append(out, e)
		}
	}
	slices.SortFunc(out, func(a, b laburnumring.ServerEntry) int { return cmp.Compare(a.ID, b.ID) })
	return out
}

// Kept reports whether a server is missing from the newest list and may get work all the same.
func (r *Roster) Kept(id string) bool { return r.kept[id] }

// CountKept returns how many servers are kept.
func (r *Roster) CountKept() int { return len(r.kept) }

// List returns the newest list with the entries that are kept.
func (r *Roster) List() laburnumring.ServerList {
	entries := slices.Collect(maps.Values(r.servers))
	slices.SortFunc(entries, func(a, b laburnumring.ServerEntry) int { return cmp.Compare(a.ID, b.ID) })
	return laburnumring.ServerList{Revision: r.revision, Entries: entries}
}
