package ratelimit

import (
	"cmp"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/laburnumring/laburnumring/pkg/clock"
)

// Cold is the limit of a server that has just started.
type Cold struct {
	// PerSecond is how many requests a second the server takes from all routers together.
	PerSecond float64
	// Bound is how many requests it may get in any second at most.
	Bound float64
	// From is when this router may send the first request, Until when the limit ends.
	From  clock.Millis
	Until clock.Millis
}

// Fleet is the set of routers among which the requests to a cold server are divided.
type Fleet struct {
	// Names are the routers known within some time, also those that are not heard any more, without this one.
	Names []string
	// Count is the number of routers, this one included: at least 1 + len(Names), and more if a peer knows of more.
	Count int
	// Eligible is set if the other routers count with this one.
	Eligible bool
}

const (
	// ColdWindow is the time in which a router sends its quota. It exceeds the second of the bound by the time between
	// the decision on a request and its arrival, which differs from request to request.
	ColdWindow = 1250 * clock.Millis(1)
	// reserveFraction is the part of the bound that is not divided. It covers routers that know of fewer others than
	// there are.
	reserveFraction = 0.2
	// coldShareInterval is the time between two computations of the quotas, for which all routers are hashed.
	coldShareInterval = 250 * clock.Millis(1)
)

// SetFleet sets the function that returns the routers which share the limits of cold servers.
func (t *Table) SetFleet(fleet func(now clock.Millis) Fleet) { t.fleet = fleet }

// SetCold sets or changes the limit of a cold server, beside the one that its responses name. It ends at c.Until.
func (t *Table) SetCold(now clock.Millis, server uint32, c Cold) {
	l, ok := t.limits[server]
	if !ok {
		l = &limit{refilledAt: now}
		t.limits[server] = l
	}
	if !l.active(now) && !l.isCold(now) {
		l.tokens, l.refilledAt, l.sharedAt = 0, now, 0
	}
	l.cold = c
}

// EndCold ends the limit of a cold server. A limit that the server's responses name stays.
func (t *Table) EndCold(server uint32) {
	if l, ok := t.limits[server]; ok {
		l.cold, l.sent, l.quota, l.sharedAt = Cold{}, nil, 0, 0
	}
}

// Cold reports whether the limit of a cold server is in force.
func (t *Table) Cold(now clock.Millis, server uint32) bool {
	l, ok := t.limits[server]
	return ok && l.isCold(now)
}

// isCold reports whether the server's limit as a cold server is in force.
func (l *limit) isCold(now clock.Millis) bool { return now < l.cold.Until }

// coldWait returns the time until the quota of a cold server allows another request; 0 if it does now.
func (l *limit) coldWait(now clock.Millis) clock.Millis {
	switch {
	case l.quota == 0:
		return NoShare
	case now < l.cold.From:
		return l.cold.From - now
	case len(l.sent) < l.quota:
		return 0
	}
	return max(0, l.sent[len(l.sent)-l.quota]+ColdWindow-now)
}

// countCold adds a request that is sent, and forgets those before the window.
func (l *limit) countCold(now clock.Millis) {
	n := 0
	for n < len(l.sent) && now-l.sent[n] >= ColdWindow {
		n++
	}
	l.sent = append(append(l.sent[:0], l.sent[n:]...), now)
}

// coldUnits returns how many requests of all routers a window has: those of the bound but one, without the reserve.
func coldUnits(bound float64) int {
	most := int(max(0, math.Floor(bound-1)))
	if most < 2 {
		return most
	}
	return most - int(math.Ceil(reserveFraction*float64(most)))
}

// coldQuota returns how many requests this router may send to a cold server in a window, and the names of the other
// routers that may send any.
func coldQuota(bound float64, server uint32, self string, f Fleet) (quota int, others map[string]bool) {
	units := coldUnits(bound)
	count := max(f.Count, 1+len(f.Names))
	each, rest := units/count, units%count
	if !f.Eligible {
		return 0, nil
	}
	order := make([]ranked, 0, len(f.Names))
	for _, name := range f.Names {
		order = append(order, ranked{hash: rankHash(server, name), name: name})
	}
	slices.SortFunc(order, ranked.compare)
	rank, _ := slices.BinarySearchFunc(order, ranked{hash: rankHash(server, self), name: self}, ranked.compare)
	if each == 0 {
		order = order[:min(rest, len(order))]
	}
	others = make(map[string]bool, len(order))
	for _, r := range order {
		others[r.name] = true
	}
	// Routers that this one does not know are taken to precede it.
	if rank+count-1-len(f.Names) < rest {
		return each + 1, others
	}
	return each, others
}

// ranked is a router with the number by which routers are ordered at a server.
type ranked struct {
	hash uint64
	name string
}

func (r ranked) compare(o ranked) int {
	return cmp.Or(cmp.Compare(r.hash, o.hash), cmp.Compare(r.name, o.name))
}

// rankHash returns the number by which routers are ordered at a server.
func rankHash(server uint32, name string) uint64 {
	key := []byte{byte(server), byte(server >> 8), byte(server >> 16), byte(server >> 24)}
	return xxhash.Sum64(append(key, name...))
}

// coldShare returns this router's requests a second at a cold server: its part of the limit by demand among the routers
// that have a quota. One that is not heard counts with the demand of this router.
func (t *Table) coldShare(now clock.Millis, server uint32, l *limit, members []Member) float64 {
	f := Fleet{Count: 1, Eligible: true}
	if t.fleet != nil {
		f = t.fleet(now)
	}
	quota, others := coldQuota(l.cold.Bound, server, t.self, f)
	l.quota = quota
	if quota == 0 {
		return 0
	}
	own, sum := baseDemand, 0.0
	for _, m := range members {
		switch weight := baseDemand + max(0, m.Demand); {
		case m.Name == t.self:
			own = weight
		case others[m.Name]:
			sum += weight
			delete(others, m.Name)
		}
	}
	sum += own * float64(len(others))
	return l.cold.PerSecond * own / (own + sum)
}
