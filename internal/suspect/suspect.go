// Package suspect keeps the fingerprints of requests that were running when a backend server died.
package suspect

import (
	"cmp"
	"maps"
	"slices"

	"github.com/laburnumring/laburnumring/pkg/clock"
)

// Kind says what is held against a fingerprint.
type Kind int

// The kinds, in the order of their weight. Zero means that nothing is known.
const (
	// Cleared means that the request ran to its end since it was suspected.
	Cleared Kind = iota + 1
	// Suspected means that a server died while the request ran, perhaps by another's fault. It runs alone.
	Suspected
	// Confirmed means that a server died while the request ran alone. It is refused.
	Confirmed
)

// Entry is what one process tells another of a fingerprint.
type Entry struct {
	// Fingerprint identifies a request's content.
	Fingerprint uint64 `cbor:"fingerprint"`
	Kind        Kind   `cbor:"kind"`
	// Version grows with each change of the fingerprint's entry; the higher one is in force, but a confirmation
	// goes before all else.
	Version int64 `cbor:"version"`
	// Remaining is how long the entry stays in force from its receipt. Clocks of two VMs are not compared.
	Remaining clock.Millis `cbor:"remaining_ms"`
}

// Options are the settings of a List.
type Options struct {
	// Life is how long an entry stays in force; five minutes when zero. It is the time in which one request
	// takes down two servers at most.
	Life clock.Millis
	// Limit is the most fingerprints that are kept; 1024 when zero.
	Limit int
}

const (
	defaultLife  = 5 * clock.Minute
	defaultLimit = 1024
)

// record is an entry as it is kept.
type record struct {
	kind    Kind
	version int64
	until   clock.Millis
}

// List is soft state: a process that starts learns it again from its peers. It is used by one goroutine at a
// time. A nil list knows nothing.
type List struct {
	o Options
	// records holds at most o.Limit fingerprints.
	records map[uint64]record
	// held counts the records that are not Cleared.
	held int
}

// New returns an empty list.
func New(o Options) *List {
	if o.Life == 0 {
		o.Life = defaultLife
	}
	if o.Limit == 0 {
		o.Limit = defaultLimit
	}
	return &List{o: o, records: make(map[uint64]record)}
}

// Died records that a server died while the request ran, and returns what to tell the peers. Alone says that
// nothing else was inside the server.
func (l *List) Died(now clock.Millis, fingerprint uint64, alone bool) Entry {
	kind := max(Suspected, l.Kind(now, fingerprint))
	if alone {
		kind = Confirmed
	}
	return l.change(now, fingerprint, kind)
}

// Finished records that the request ran to its end. It returns what to tell the peers, and false when nothing
// was held against the request.
func (l *List) Finished(now clock.Millis, fingerprint uint64) (Entry, bool) {
	if l.Kind(now, fingerprint) != Suspected {
		return Entry{}, false
	}
	return l.change(now, fingerprint, Cleared), true
}

// Suspect notes a suspicion whose origin is not known; any peer's entry goes before it.
func (l *List) Suspect(now clock.Millis, fingerprint uint64) {
	if l != nil {
		l.store(now, fingerprint, record{kind: Suspected, until: now + l.o.Life})
	}
}

// Watching reports whether anything may be held against any request.
func (l *List) Watching() bool { return l != nil && l.held > 0 }

// Held returns how many fingerprints are suspected or confirmed.
func (l *List) Held() int { return l.held }

// Prune forgets what is not in force any more.
func (l *List) Prune(now clock.Millis) {
	maps.DeleteFunc(l.records, func(_ uint64, r record) bool { return now >= r.until })
	l.count()
}

// Merge takes a peer's entry and reports whether it was news.
func (l *List) Merge(now clock.Millis, e Entry) bool {
	if e.Remaining <= 0 || e.Kind < Cleared || e.Kind > Confirmed {
		return false
	}
	r := l.records[e.Fingerprint]
	if now < r.until && !e.replaces(r) {
		return false
	}
	l.store(now, e.Fingerprint, record{kind: e.Kind, version: e.Version, until: now + min(e.Remaining, l.o.Life)})
	return true
}

// replaces reports whether the entry goes before a record in force: a confirmation before all else, then the
// higher version.
func (e Entry) replaces(r record) bool {
	if (e.Kind == Confirmed) != (r.kind == Confirmed) {
		return e.Kind == Confirmed
	}
	return cmp.Or(cmp.Compare(e.Version, r.version), cmp.Compare(e.Kind, r.kind)) > 0
}

// Kind returns what is held against a fingerprint; 0 when nothing is known.
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

// Remaining returns how long the fingerprint's entry stays in force.
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

// News returns the entries that changed within the last life, and up to most others that follow the fingerprint after,
// so that peers which missed an entry, or have started since, learn it in turn. It returns the last of the others, to
// go on after; entries that begin anew follow the highest fingerprint.
func (l *List) News(now, life clock.Millis, after uint64, most int) ([]Entry, uint64) {
	var out, rest []Entry
	for _, e := range l.Entries(now) {
		switch {
		case l.o.Life-e.Remaining <= life:
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

// change makes a new entry. Its version follows the clock, so that it passes entries that were forgotten here.
func (l *List) change(now clock.Millis, fingerprint uint64, kind Kind) Entry {
	version := max(l.records[fingerprint].version+1, int64(now))
	l.store(now, fingerprint, record{kind: kind, version: version, until: now + l.o.Life})
	return Entry{Fingerprint: fingerprint, Kind: kind, Version: version, Remaining: l.o.Life}
}

// store keeps a record and forgets expired ones, and the one that expires first when there are too many.
func (l *List) store(now clock.Millis, fingerprint uint64, r record) {
	l.records[fingerprint] = r
	if len(l.records) > l.o.Limit {
		l.Prune(now)
	}
	for len(l.records) > l.o.Limit {
		delete(l.records, l.oldest())
	}
	l.count()
}

func (l *List) count() {
	l.held = 0
	for _, r := range l.records {
		if r.kind != Cleared {
			l.held++
		}
	}
}

func (l *List) oldest() uint64 {
	fingerprints := slices.Sorted(maps.Keys(l.records))
	return slices.MinFunc(fingerprints, func(a, b uint64) int {
		return cmp.Or(cmp.Compare(l.records[a].kind, l.records[b].kind),
			cmp.Compare(l.records[a].until, l.records[b].until))
	})
}
