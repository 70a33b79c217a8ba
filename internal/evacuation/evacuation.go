// Package evacuation determines which places are evacuated at a router, from what the router reads of the operator's
// records and from what its peers report. A recovery of the store from a copy may lose the newest records, so a place
// that is missing after one stays evacuated for a while. The package does no I/O and reads no clock.
package evacuation

import (
	"maps"
	"slices"

	"github.com/laburnumring/laburnumring"
	"github.com/laburnumring/laburnumring/pkg/clock"
)

const (
	// HoldTime is how long a place that is missing from the first list of an era stays evacuated, unless its removal is
	// read in that era. The operator writes lost records again within that time.
	HoldTime = 5 * clock.Second
	// maxPlaces and maxNameBytes limit what is taken from one report. A message has room for these.
	maxPlaces    = 64
	maxNameBytes = 64
)

// Report is what a router tells its peers: all evacuated places as of a revision of the operator's records.
type Report struct {
	Revision int64                            `cbor:"1,keyasint"`
	Era      int64                            `cbor:"2,keyasint,omitempty"`
	Places   []string                         `cbor:"3,keyasint,omitempty"`
	Removals []laburnumring.EvacuationRemoval `cbor:"4,keyasint,omitempty"`
	// Held holds the places that stay evacuated for a while after a recovery of the store.
	Held []Hold `cbor:"5,keyasint,omitempty"`
}

// Hold is a place that stays evacuated although its record is missing since a recovery of the store.
type Hold struct {
	_     struct{} `cbor:",toarray"`
	Place string
	// Left is how much longer the place stays evacuated.
	Left clock.Millis
}

// Change is a change of the evacuated places. Both lists are sorted.
type Change struct {
	// Evacuated holds the places that were not evacuated before.
	Evacuated []string
	// Reopened holds the places whose evacuation has ended, also those whose evacuation this router had not known of.
	Reopened []string
}

// Empty reports whether nothing changed.
func (c Change) Empty() bool { return len(c.Evacuated) == 0 && len(c.Reopened) == 0 }

// State holds the evacuated places at one router. The places with the highest revision count. It is not safe for
// concurrent use.
type State struct {
	newest laburnumring.Evacuations
	// held holds until when places that were missing from the first list of the era stay evacuated. Entries that have
	// ended stay until the next era, so that a peer's report does not extend them.
	held map[string]clock.Millis
	// places is the set in force, sorted: those of newest and those held.
	places []string
	// known is set once this router knows what was recorded when it started.
	known bool
	// recorded is set once there has been any record of an evacuated place.
	recorded bool
}

// New returns a state that knows of no place.
func New() *State { return &State{held: make(map[string]clock.Millis)} }

// Known reports whether this router has read the operator's records, or has heard from a router that knew them.
func (s *State) Known() bool { return s.known }

// SetKnown records that a router which knew the operator's records has reported.
func (s *State) SetKnown() { s.known = true }

// Recorded reports whether there has been any record of an evacuated place.
func (s *State) Recorded() bool { return s.recorded }

// Revision returns the revision of the operator's records that the places follow from.
func (s *State) Revision() int64 { return s.newest.Revision }

// Places returns the evacuated places, sorted. The caller must not modify the list.
func (s *State) Places() []string { return s.places }

// Held returns the number of places that stay evacuated without a record.
func (s *State) Held() int { return len(s.places) - len(s.newest.Places) }

// Contains reports whether a place is evacuated.
func (s *State) Contains(place string) bool {
	_, ok := slices.BinarySearch(s.places, place)
	return ok
}

// Apply applies what this router has read. Older records than those known change nothing.
func (s *State) Apply(now clock.Millis, e laburnumring.Evacuations) Change {
	s.known = true
	return s.apply(now, e)
}

// Merge applies a peer's report; nil if the peer knows of no record of an evacuated place.
func (s *State) Merge(now clock.Millis, r *Report) Change {
	if r == nil || !r.valid() {
		return Change{}
	}
	s.recorded = true
	c := s.apply(now, laburnumring.Evacuations{
		Revision: r.Revision, Era: r.Era, Places: slices.Compact(slices.Sorted(slices.Values(r.Places))), Removals: r.Removals,
	})
	if r.Revision != s.newest.Revision {
		return c
	}
	added := false
	for _, h := range r.Held {
		if _, ok := s.held[h.Place]; !ok && !s.removed(h.Place) && h.Left > 0 {
			s.held[h.Place] = now + min(h.Left, HoldTime)
			added = true
		}
	}
	if !added {
		return c
	}
	more := s.update(now)
	c.Evacuated = append(c.Evacuated, more.Evacuated...)
	c.Reopened = slices.DeleteFunc(c.Reopened, s.Contains)
	slices.Sort(c.Evacuated)
	return c
}

func (r *Report) valid() bool {
	names := slices.Clone(r.Places)
	for _, v := range r.Removals {
		names = append(names, v.Place)
	}
	for _, v := range r.Held {
		names = append(names, v.Place)
	}
	return r.Revision > 0 && len(names) <= maxPlaces &&
		!slices.ContainsFunc(names, func(n string) bool { return n == "" || len(n) > maxNameBytes })
}

// apply applies records of a higher revision.
func (s *State) apply(now clock.Millis, e laburnumring.Evacuations) Change {
	before := s.newest
	if e.Revision <= before.Revision {
		return Change{}
	}
	s.newest = e
	s.recorded = s.recorded || len(e.Places) > 0 || len(e.Removals) > 0
	if e.Era > before.Era && before.Revision > 0 {
		clear(s.held)
		for _, place := range s.places {
			s.held[place] = now + HoldTime
		}
	}
	for place := range s.held {
		if slices.Contains(e.Places, place) || s.removed(place) {
			// From now on the records of this era tell the place's state.
			s.held[place] = 0
		}
	}
	c := s.update(now)
	for _, v := range e.Removals {
		// A place that was evacuated and reopened between two reports.
		if before.Revision > 0 && v.Revision > before.Revision && !s.Contains(v.Place) && !slices.Contains(c.Reopened, v.Place) {
			c.Reopened = append(c.Reopened, v.Place)
		}
	}
	slices.Sort(c.Reopened)
	return c
}

// removed reports whether the removal of a place's record was read in this era.
func (s *State) removed(place string) bool {
	return slices.ContainsFunc(s.newest.Removals, func(v laburnumring.EvacuationRemoval) bool { return v.Place == place })
}

// Expire ends the evacuation of places that were held for long enough.
func (s *State) Expire(now clock.Millis) Change {
	if s.Held() == 0 {
		return Change{}
	}
	return s.update(now)
}

// update derives the set in force and returns what changed.
func (s *State) update(now clock.Millis) Change {
	before := s.places
	set := make(map[string]bool, len(before))
	for _, place := range s.newest.Places {
		set[place] = true
	}
	for place, until := range s.held {
		if now < until {
			set[place] = true
		}
	}
	s.places = slices.Sorted(maps.Keys(set))
	return Change{Evacuated: missing(before, s.places), Reopened: missing(s.places, before)}
}

// missing returns the places of the second sorted list that the first lacks.
func missing(from, list []string) []string {
	var out []string
	for _, place := range list {
		if _, ok := slices.BinarySearch(from, place); !ok {
			out = append(out, place)
		}
	}
	return out
}

// Report returns what to tell the peers; nil if there never was a record of an evacuated place.
func (s *State) Report(now clock.Millis) *Report {
	if !s.recorded || s.newest.Revision == 0 {
		return nil
	}
	r := &Report{
		Revision: s.newest.Revision, Era: s.newest.Era, Places: s.newest.Places, Removals: s.newest.Removals,
	}
	for _, place := range s.places {
		if until := s.held[place]; now < until {
			r.Held = append(r.Held, Hold{Place: place, Left: until - now})
		}
	}
	return r
}

// Confirms reports whether a peer with the given report holds the same records as this router, so that the age of the
// peer's copy is that of this router's.
func (s *State) Confirms(r *Report) bool {
	if r == nil {
		return !s.recorded
	}
	return r.Revision == s.newest.Revision
}

// WithDelay returns a report whose times are right after it was delayed.
func (r *Report) WithDelay(delay clock.Millis) *Report {
	if r == nil {
		return nil
	}
	out := *r
	out.Held = slices.Clone(r.Held)
	for i := range out.Held {
		out.Held[i].Left -= delay
	}
	return &out
}
