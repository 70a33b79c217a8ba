// Package ratelimit keeps routers within the rates of requests that backend servers name for all routers together. Each
// router takes a share of a server's limit by its demand, as all routers know it; a server with a low limit is used by a
// few routers only, so that their bursts together stay small.
package ratelimit

import (
	"cmp"
	"maps"
	"math"
	"slices"

	"github.com/laburnumring/laburnumring/pkg/clock"
)

// Entry is what routers tell each other about a server's limit.
type Entry struct {
	_ struct{} `cbor:",toarray"`
	// Server is the key of the server's incarnation.
	Server uint32
	// PerSecond is the limit in requests a second; 0 if Named is negative.
	PerSecond float64
	// Named is how long before the report a response named the limit, and Cleared how long before it the latest request
	// was sent whose response named none; negative if there was none.
	Named   clock.Millis
	Cleared clock.Millis
}

// Member is a router among those that share a limit.
type Member struct {
	Name string
	// Demand is its requests a second for the server's service.
	Demand float64
}

const (
	// minRate is the lowest rate at which a server gets requests: only their answers tell that its limit has ended.
	minRate = 0.25
	// baseDemand is the demand that each router is counted with at least, so that it can use a limited server at once
	// when its first requests come.
	baseDemand = 0.5
	// minSenders and sendersPerRate determine how many routers may use a limited server. Each has one request at hand, or
	// burstTime of its share, so that 3 plus a second's worth of requests may come at once.
	minSenders     = 3
	sendersPerRate = 0.5
	burstTime      = 500 * clock.Millis(1)
	// shareInterval is the time between two computations of the shares.
	shareInterval = 100 * clock.Millis(1)
	// limitTTL is how long a limit is kept that no response repeats.
	limitTTL = 1 * clock.Minute
	// updateTTL is how long reports repeat a change, and maxOldEntries how many of the other limits each has in turn.
	updateTTL     = 2 * clock.Second
	maxOldEntries = 4
)

// limit is what is known about one server's limit.
type limit struct {
	perSecond float64
	// namedAt is when a response last named the limit, and clearedAt when the latest request was sent whose response named
	// none; 0 if there was none.
	namedAt   clock.Millis
	clearedAt clock.Millis
	// changedAt is when the limit was last set, changed or ended here.
	changedAt clock.Millis
	// share is this router's requests a second, as of sharedAt. tokens is how many it may send now, as of refilledAt.
	share      float64
	sharedAt   clock.Millis
	tokens     float64
	refilledAt clock.Millis
	// cold is the limit that the server has while it is cold; its Until is 0 if there is none. quota is how many requests
	// this router may send in a window then, as of sharedAt, and sent holds when it sent the latest, oldest first.
	cold  Cold
	quota int
	sent  []clock.Millis
}

// active reports whether the limit is in force. Responses overtake each other, so one without a limit ends it only if
// its request was sent after the limit was named.
func (l *limit) active(now clock.Millis) bool {
	return l.namedAt > 0 && l.clearedAt <= l.namedAt && now-l.namedAt < limitTTL
}

// wasNamed reports whether a response said anything about the limit.
func (l *limit) wasNamed() bool { return l.namedAt > 0 || l.clearedAt > 0 }

// perSecondIn returns the lower of the limits in force; false if there is none.
func (l *limit) perSecondIn(now clock.Millis) (perSecond float64, ok bool) {
	named, cold := l.active(now), l.isCold(now)
	switch {
	case named && cold:
		return min(l.perSecond, l.cold.PerSecond), true
	case cold:
		return l.cold.PerSecond, true
	}
	return l.perSecond, named
}

// Table holds the limits of all servers. It must not be used concurrently.
type Table struct {
	// self is this router's name among the members.
	self   string
	limits map[uint32]*limit
	// lastReported is the server of the last older entry that was reported.
	lastReported uint32
	// fleet returns the routers that share the limits of cold servers; nil for a router on its own.
	fleet func(now clock.Millis) Fleet
}

// New returns an empty table for the router with the given name.
func New(self string) *Table { return &Table{self: self, limits: make(map[uint32]*limit)} }

// Name records that a response named a limit. It reports whether that changes the limit in force.
func (t *Table) Name(now clock.Millis, server uint32, perSecond float64) bool {
	return t.update(now, server, func(l *limit) {
		l.namedAt, l.perSecond = now, perSecond
	})
}

// Clear records that the response to a request sent at the given time named no limit. It reports whether that changes
// the limit in force.
func (t *Table) Clear(now, sent clock.Millis, server uint32) bool {
	if l, ok := t.limits[server]; !ok || !l.wasNamed() {
		return false
	}
	return t.update(now, server, func(l *limit) { l.clearedAt = max(l.clearedAt, sent) })
}

func (t *Table) update(now clock.Millis, server uint32, change func(*limit)) bool {
	l, ok := t.limits[server]
	if !ok {
		l = &limit{refilledAt: now}
		t.limits[server] = l
	}
	was, rate := l.active(now), l.perSecond
	change(l)
	is := l.active(now)
	if was == is && (!is || rate == l.perSecond) {
		return false
	}
	if !was {
		l.tokens, l.refilledAt, l.sharedAt = 0, now, 0
	}
	l.changedAt = now
	return true
}

// Forget removes the limit that a server's responses named: its next incarnation has named none yet. What was sent to a
// cold server stays counted.
func (t *Table) Forget(server uint32) {
	l, ok := t.limits[server]
	if !ok || l.cold.Until == 0 {
		delete(t.limits, server)
		return
	}
	l.perSecond, l.namedAt, l.clearedAt, l.changedAt = 0, 0, 0, 0
}

// Len returns the number of servers about whose limits something is known.
func (t *Table) Len() int { return len(t.limits) }

// Limit returns a server's limit in force; false if there is none.
func (t *Table) Limit(now clock.Millis, server uint32) (perSecond float64, ok bool) {
	l, ok := t.limits[server]
	if !ok {
		return 0, false
	}
	if perSecond, ok = l.perSecondIn(now); !ok {
		return 0, false
	}
	return perSecond, true
}

// NoShare is the wait of a router that has no share of a limit.
const NoShare clock.Millis = math.MaxInt32

// Wait returns the time until this router may send a request to a server; 0 if it may now. members returns all routers
// that share the limit, this one included if it may send at all.
func (t *Table) Wait(now clock.Millis, server uint32, members func() []Member) clock.Millis {
	l, ok := t.limits[server]
	if !ok {
		return 0
	}
	named, cold := l.active(now), l.isCold(now)
	if !named && !cold {
		return 0
	}
	l.refill(now)
	interval := shareInterval
	if cold {
		interval = coldShareInterval
	}
	if l.sharedAt == 0 || now-l.sharedAt >= interval {
		l.sharedAt, l.share = now, math.Inf(1)
		known := members()
		if named {
			l.share = share(max(minRate, l.perSecond), server, t.self, known)
		}
		if cold {
			l.share = min(l.share, t.coldShare(now, server, l, known))
		}
	}
	wait := clock.Millis(0)
	if cold {
		wait = l.coldWait(now)
	}
	switch {
	case l.tokens >= 1:
		return wait
	case l.share <= 0:
		return NoShare
	}
	return max(wait, clock.Millis(math.Ceil((1-l.tokens)/l.share*float64(clock.Second))))
}

// Share returns this router's requests a second at a server with a limit, as last computed; 0 without one.
func (t *Table) Share(server uint32) float64 {
	if l, ok := t.limits[server]; ok {
		return l.share
	}
	return 0
}

// refill adds the tokens of the time since the last call.
func (l *limit) refill(now clock.Millis) {
	most := max(1, l.share*burstTime.Duration().Seconds())
	l.tokens = min(most, l.tokens+l.share*(now-l.refilledAt).Duration().Seconds())
	l.refilledAt = now
}

// Take counts a request that is sent to a server.
func (t *Table) Take(now clock.Millis, server uint32) {
	if l, ok := t.limits[server]; ok {
		l.refill(now)
		l.tokens--
		if l.isCold(now) {
			l.countCold(now)
		}
	}
}

// Prune removes the limits that have ended.
func (t *Table) Prune(now clock.Millis) {
	maps.DeleteFunc(t.limits, func(_ uint32, l *limit) bool {
		return !l.active(now) && !l.isCold(now) && now-max(l.changedAt, l.clearedAt) > limitTTL
	})
}

// share returns the requests a second that the router self may send to a server with the given limit.
func share(perSecond float64, server uint32, self string, members []Member) float64 {
	senders := selectSenders(perSecond, server, members)
	own, sum := 0.0, 0.0
	for _, m := range senders {
		weight := baseDemand + max(0, m.Demand)
		sum += weight
		if m.Name == self {
			own = weight
		}
	}
	if own == 0 {
		return 0
	}
	return perSecond * own / sum
}

// selectSenders returns the routers that may use a server: all, or for a low limit those that come first by hash.
func selectSenders(perSecond float64, server uint32, members []Member) []Member {
	n := int(min(float64(len(members)), minSenders+sendersPerRate*perSecond))
	if n == len(members) {
		return members
	}
	order := make(map[string]uint64, len(members))
	for _, m := range members {
		order[m.Name] = rankHash(server, m.Name)
	}
	sorted := slices.SortedFunc(slices.Values(members), func(a, b Member) int {
		return cmp.Or(cmp.Compare(order[a.Name], order[b.Name]), cmp.Compare(a.Name, b.Name))
	})
	return sorted[:n]
}

// Report returns the entries for the peers: what has changed, and in turn some of the other limits in force.
func (t *Table) Report(now clock.Millis) []Entry {
	var out, old []Entry
	for _, server := range slices.Sorted(maps.Keys(t.limits)) {
		l := t.limits[server]
		if !l.wasNamed() {
			continue
		}
		e := Entry{Server: server, PerSecond: l.perSecond, Named: age(now, l.namedAt), Cleared: age(now, l.clearedAt)}
		switch {
		case now-l.changedAt <= updateTTL:
			out = append(out, e)
		case l.active(now):
			old = append(old, e)
		}
	}
	next := slices.IndexFunc(old, func(e Entry) bool { return e.Server > t.lastReported })
	if next < 0 {
		next = 0
	}
	old = old[next:min(len(old), next+maxOldEntries)]
	if len(old) > 0 {
		t.lastReported = old[len(old)-1].Server
	}
	return append(out, old...)
}

func age(now, at clock.Millis) clock.Millis {
	if at == 0 {
		return -1
	}
	return now - at
}

// Merge adds what a peer reports about a server, and reports whether that changes the limit in force. delay is the time
// for which the report was delayed.
func (t *Table) Merge(now, delay clock.Millis, e Entry) bool {
	if !(e.PerSecond >= 0) || e.Named < 0 && e.Cleared < 0 || e.Named+delay >= limitTTL {
		return false
	}
	return t.update(now, e.Server, func(l *limit) {
		if at := now - e.Named - delay; e.Named >= 0 && at > l.namedAt {
			l.namedAt, l.perSecond = at, e.PerSecond
		}
		if e.Cleared >= 0 {
			l.clearedAt = max(l.clearedAt, now-e.Cleared-delay)
		}
	})
}
