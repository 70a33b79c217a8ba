package roster

import (
	"maps"

	"github.com/laburnumring/laburnumring"
	"github.com/laburnumring/laburnumring/pkg/clock"
)

// Departure is a server that is known to leave.
type Departure struct {
	// Server is the server's id. Born and Address identify its incarnation as its entry does.
	Server  string
	Born    int64
	Address string
	// At is when it was first known.
	At clock.Millis
}

// of reports whether the departure is that of the entry's incarnation.
func (d Departure) of(e laburnumring.ServerEntry) bool {
	return d.Server == e.ID && sameIncarnation(d.Born, d.Address, e)
}

// sameIncarnation reports whether an entry is of the incarnation that started at born; if either time is unknown, of
// the one at the address.
func sameIncarnation(born int64, address string, e laburnumring.ServerEntry) bool {
	if born == 0 || e.Born == 0 {
		return address == e.Address
	}
	return born == e.Born
}

// unlisted is a server whose entry disappeared from the list, or was listed again by a recovered one, at a given time.
type unlisted struct {
	entry laburnumring.ServerEntry
	at    clock.Millis
}

const (
	// memoryTTL is how long servers that left are remembered. A recovered list is some seconds old.
	memoryTTL = 1 * clock.Minute
	// withholdTime is how long a server that had left gets no work although a recovered list names it. The platform
	// removes the entry of a stopped server after three heartbeat intervals, 3.6 seconds.
	withholdTime = 5 * clock.Second
)

// RecordDeparture records that a server leaves, and reports whether that was not known.
func (r *Roster) RecordDeparture(d Departure) bool {
	known, ok := r.departures[d.Server]
	if ok && known.Born == d.Born && known.Address == d.Address {
		return false
	}
	if e, listed := r.all()[d.Server]; listed && !d.of(e) && d.Born != 0 && d.Born < e.Born {
		// The news is about an earlier incarnation.
		return false
	}
	r.departures[d.Server] = d
	return true
}

// Departures returns the departures that were first known after the given time.
func (r *Roster) Departures(after clock.Millis) []Departure {
	var out []Departure
	for _, d := range r.departures {
		if d.At > after {
			out = append(out, d)
		}
	}
	return out
}

// departed reports whether the entry's incarnation is known to leave.
func (r *Roster) departed(e laburnumring.ServerEntry) bool {
	d, ok := r.departures[e.ID]
	return ok && d.of(e)
}

// recovered handles the first list of an era, before it is applied. What the lost changes said is still true: servers
// that were leaving or unlisted stay away, and those that the list does not name yet are retained as after an outage.
func (r *Roster) recovered(now clock.Millis, l laburnumring.ServerList) {
	r.outageEnd, r.retainUntil, r.finalReadRequested = max(r.outageEnd, now), max(r.retainUntil, now+retainTime), false
	for id, e := range r.listed {
		if e.State == laburnumring.ServerLeaving && !r.departed(e) {
			r.departures[id] = Departure{Server: id, Born: e.Born, Address: e.Address, At: now}
		}
	}
	for _, e := range l.Entries {
		u, ok := r.unlisted[e.ID]
		if !ok || !sameIncarnation(u.entry.Born, u.entry.Address, e) {
			continue
		}
		if u.entry.State == laburnumring.ServerLeaving {
			r.departures[e.ID] = Departure{Server: e.ID, Born: e.Born, Address: e.Address, At: now}
			continue
		}
		r.withheld[e.ID] = unlisted{entry: u.entry, at: now}
	}
}

// trackUnlisted updates what is remembered of servers that are not in the list that is about to be applied.
func (r *Roster) trackUnlisted(now clock.Millis, listed map[string]laburnumring.ServerEntry) {
	for id, e := range r.listed {
		if _, ok := listed[id]; !ok {
			r.unlisted[id] = unlisted{entry: e, at: now}
		}
	}
	for id, e := range listed {
		delete(r.unlisted, id)
		if u, ok := r.withheld[id]; ok && !sameIncarnation(u.entry.Born, u.entry.Address, e) {
			delete(r.withheld, id)
		}
	}
	for id := range r.withheld {
		if _, ok := listed[id]; !ok {
			delete(r.withheld, id)
		}
	}
}

// WithheldCount returns the number of listed servers that get no work because only a recovered list names them.
func (r *Roster) WithheldCount() int { return len(r.withheld) }

// Era returns the era of the newest list applied.
func (r *Roster) Era() int64 { return r.era }

// Prune forgets servers that left long ago.
func (r *Roster) Prune(now clock.Millis) {
	maps.DeleteFunc(r.unlisted, func(_ string, u unlisted) bool { return now-u.at > memoryTTL })
	servers := r.all()
	maps.DeleteFunc(r.departures, func(id string, d Departure) bool {
		e, ok := servers[id]
		return now-d.At > memoryTTL && (!ok || !d.of(e))
	})
}
