// Package suspect keeps the fingerprints of requests that were running when a backend server crashed. Such a request
// may be poison: it may crash every server that it runs on.
package suspect

import (
	"cmp"
	"maps"
	"slices"

	"github.com/laburnumring/laburnumring/pkg/clock"
)

// Kind is the state of a fingerprint.
type Kind int

// The kinds, in increasing order of severity. Zero means that nothing is known.
const (
	// Cleared means that the request has completed since it was suspected.
	Cleared Kind = iota + 1
	// Suspected means that a server crashed while the request ran, perhaps because of another request. The request
	// runs isolated, without others on the same server.
	Suspected
	// Confirmed means that a server crashed while the request ran isolated. The request is refused.
	Confirmed
)

// Entry is the state of a fingerprint as processes send it to each other.
type Entry struct {
	// Fingerprint identifies a request's content.
	Fingerprint uint64 `cbor:"fingerprint"`
	Kind        Kind   `cbor:"kind"`
	// Version increases with each change of the fingerprint's entry. The entry with the higher version is in force,
	// except that a confirmed entry supersedes all others.
	Version int64 `cbor:"version"`
	// Remaining is how long the entry stays in force from its receipt. It is a duration because the clocks of two VMs
	// are not compared.
	Remaining clock.Millis `cbor:"remaining_ms"`
}

// Options are the settings of a List.
type Options struct {
	// TTL is how long an entry stays in force; five minutes when zero. Within this time, one request can crash two
	// servers at most.
	TTL clock.Millis
	// Limit is the maximum number of fingerprints in the list; 1024 when zero.
	Limit int
}

const (
	defaultTTL   = 5 * clock.Minute
	defaultLimit = 1024
)

// record is an entry as the list stores it.
type record struct {
	kind    Kind
	version int64
	until   clock.Millis
}

// List holds the entries of suspect requests. It is soft state: a process that starts receives it from its peers.
// A List must not be used concurrently. A nil *List is an empty list for MarkSuspected, HasSuspects, Kind,
// Remaining, Entry, Entries and Updates.
type List struct {
	o Options
	// records holds at most o.Limit fingerprints.
	records map[uint64]record
	// activeCount is the number of records that are not Cleared.
	activeCount int
	// confirmations counts the records that were stored as Confirmed.
	confirmations int64
}

// New returns an empty list.
func New(o Options) *List {
	if o.TTL == 0 {
		o.TTL = defaultTTL
	}
	if o.Limit == 0 {
		o.Limit = defaultLimit
	}
	return &List{o: o, records: make(map[uint64]record)}
}

// RecordCrash records that a server crashed while the request ran, and returns the entry to send to the peers. isolated
// reports whether the server ran nothing else.
func (l *List) RecordCrash(now clock.Millis, fingerprint uint64, isolated bool) Entry {
	kind := max(Suspected, l.Kind(now, fingerprint))
	if isolated {
		kind = Confirmed
	}
	return l.change(now, fingerprint, kind)
}

// RecordCompletion records that the request completed. It returns the entry to send to the peers, or false when the
// request was not Suspected: a confirmed request stays confirmed.
func (l *List) RecordCompletion(now clock.Millis, fingerprint uint64) (Entry, bool) {
	if l.Kind(now, fingerprint) != Suspected {
		return Entry{}, false
	}
	return l.change(now, fingerprint, Cleared), true
}

// MarkSuspected records that the request is suspected for an unknown reason. It overwrites an entry in force, and any
// peer's entry supersedes it.
func (l *List) MarkSuspected(now clock.Millis, fingerprint uint64) {
	if l != nil {
		l.store(now, fingerprint, record{kind: Suspected, until: now + l.o.TTL})
	}
}

// HasSuspects reports whether any request may be suspected or confirmed. It counts entries that have expired and were
// not pruned.
func (l *List) HasSuspects() bool { return l != nil && l.activeCount > 0 }

// SuspectCount returns the number of fingerprints that are suspected or confirmed.
func (l *List) SuspectCount() int { return l.activeCount }

// Prune removes expired entries.
func (l *List) Prune(now clock.Millis) {
	maps.DeleteFunc(l.records, func(_ uint64, r record) bool { return now >= r.until })
	l.recount()
}

// Merge merges a peer's entry and reports whether it changed the list.
func (l *List) Merge(now clock.Millis, e Entry) bool {
	if e.Remaining <= 0 || e.Kind < Cleared || e.Kind > Confirmed {
		return false
	}
	r := l.records[e.Fingerprint]
	if now < r.until && !e.supersedes(r) {
		return false
	}
	l.store(now, e.Fingerprint, record{kind: e.Kind, version: e.Version, until: now + min(e.Remaining, l.o.TTL)})
	return true
}

// supersedes reports whether the entry replaces a record in force. A confirmed entry replaces all others; otherwise
// the higher version wins, then the more severe kind.
func (e Entry) supersedes(r record) bool {
	if (e.Kind == Confirmed) != (r.kind == Confirmed) {
		return e.Kind == Confirmed
	}
	return cmp.Or(cmp.Compare(e.Version, r.version), cmp.Compare(e.Kind, r.kind)) > 0
}

// Kind returns the kind of a fingerprint's entry, or 0 when none is in force.
func (l *List) Kind(now clock.Millis, fingerprint uint64) Kind {
	if l == nil {
		return 0
	}
	r, ok := l.records[fingerprint]
	if !ok || now >= r.until {
		return 0
	}
	return r.kind
}

// Remaining returns how long the fingerprint's entry stays in force, or 0 when none is.
func (l *List) Remaining(now clock.Millis, fingerprint uint64) clock.Millis {
	if l.Kind(now, fingerprint) == 0 {
		return 0
	}
	return l.records[fingerprint].until - now
}

// Entries returns all entries in force, sorted by fingerprint.
func (l *List) Entries(now clock.Millis) []Entry {
	if l == nil {
		return nil
	}
	out := make([]Entry, 0, len(l.records))
	for _, f := range slices.Sorted(maps.Keys(l.records)) {
		if e, ok := l.Entry(now, f); ok {
			out = append(out, e)
		}
	}
	return out
}

// Confirmed returns at most most confirmed entries in force, those first that stay so the longest.
func (l *List) Confirmed(now clock.Millis, most int) []Entry {
	out := slices.DeleteFunc(l.Entries(now), func(e Entry) bool { return e.Kind != Confirmed })
	slices.SortStableFunc(out, func(a, b Entry) int { return cmp.Compare(b.Remaining, a.Remaining) })
	return out[:min(len(out), most)]
}

// Confirmations returns a number that increases whenever a fingerprint is confirmed.
func (l *List) Confirmations() int64 { return l.confirmations }

// Updates returns the entries that changed within the last updateTTL, and up to most older ones, so that peers that
// missed an entry or started later receive it in time. The older ones are those that follow the fingerprint after, in
// the order of fingerprints. The second result is the last of them, to be passed as after to the next call; it is 0
// when there were none, so that the next call starts again with the lowest fingerprint.
func (l *List) Updates(now, updateTTL clock.Millis, after uint64, most int) ([]Entry, uint64) {
	var out, rest []Entry
	for _, e := range l.Entries(now) {
		switch {
		case l.o.TTL-e.Remaining <= updateTTL:
			out = append(out, e)
		case e.Fingerprint > after && len(rest) < most:
			rest = append(rest, e)
		}
	}
	if len(rest) == 0 {
		return out, 0
	}
	return append(out, rest...), rest[len(rest)-1].Fingerprint
}

// Entry returns a fingerprint's entry, if one is in force.
func (l *List) Entry(now clock.Millis, fingerprint uint64) (Entry, bool) {
	if l.Kind(now, fingerprint) == 0 {
		return Entry{}, false
	}
	r := l.records[fingerprint]
	return Entry{Fingerprint: fingerprint, Kind: r.kind, Version: r.version, Remaining: r.until - now}, true
}

// change stores and returns a new entry. Its version is at least the time, so that it exceeds the versions of entries
// that this process no longer has.
func (l *List) change(now clock.Millis, fingerprint uint64, kind Kind) Entry {
	version := max(l.records[fingerprint].version+1, int64(now))
	l.store(now, fingerprint, record{kind: kind, version: version, until: now + l.o.TTL})
	return Entry{Fingerprint: fingerprint, Kind: kind, Version: version, Remaining: l.o.TTL}
}

// store stores a record. When there are too many, it removes expired ones and then, until Limit is met, the least
// severe, of which the one that expires first goes first.
func (l *List) store(now clock.Millis, fingerprint uint64, r record) {
	l.records[fingerprint] = r
	if r.kind == Confirmed {
		l.confirmations++
	}
	if len(l.records) > l.o.Limit {
		l.Prune(now)
	}
	for len(l.records) > l.o.Limit {
		delete(l.records, l.evictionCandidate())
	}
	l.recount()
}

func (l *List) recount() {
	l.activeCount = 0
	for _, r := range l.records {
		if r.kind != Cleared {
			l.activeCount++
		}
	}
}

func (l *List) evictionCandidate() uint64 {
	fingerprints := slices.Sorted(maps.Keys(l.records))
	return slices.MinFunc(fingerprints, func(a, b uint64) int {
		return cmp.Or(cmp.Compare(l.records[a].kind, l.records[b].kind),
			cmp.Compare(l.records[a].until, l.records[b].until))
	})
}
