// Package quarantine finds the prompt parts that crash backend servers. A crash breaks off many requests, most of them
// sound. Those whose answers had not begun are the casualties; a part of them is quarantined once enough crashes have
// it in common and no answer with it has begun in between. Verdicts follow from the evidence alone, so routers that
// have exchanged it agree.
package quarantine

import (
	"cmp"
	"maps"
	"slices"

	"github.com/laburnumring/laburnumring/pkg/clock"
)

// Casualty is a request that a server broke off before its answer began, as routers report it to each other.
type Casualty struct {
	_ struct{} `cbor:",toarray"`
	// Server identifies the server's incarnation and Request the request's content; both are hashes.
	Server  uint32
	Request uint32
	// Sent, Broken and Refused are how long before the report the request was sent, when it was broken off, and when a
	// request with the part that is held responsible was last refused. Refused equals Broken if there was none.
	Sent    clock.Millis
	Broken  clock.Millis
	Refused clock.Millis
	// Parts are the hashes of the prompt's shared parts in order.
	Parts []uint64
}

// Start reports that an answer to a request with a part began.
type Start struct {
	_    struct{} `cbor:",toarray"`
	Part uint64
	// Age is how long before the report that was.
	Age clock.Millis
}

// Trial reports that a request with a part in quarantine was sent to test whether it still crashes servers.
type Trial struct {
	_    struct{} `cbor:",toarray"`
	Part uint64
	// Request is the hash of the request's content.
	Request uint32
	// Age is how long before the report that was.
	Age clock.Millis
}

// Verdict is a change of a part's state.
type Verdict struct {
	Part        uint64
	Quarantined bool
	// Crashes and Requests are the numbers of crashes and of different requests in evidence.
	Crashes  int
	Requests int
}

// Options are the settings of a List.
type Options struct {
	// Changed is called with each change of a verdict; may be nil.
	Changed func(Verdict)
}

const (
	// minCrashes is the number of crashes, and minRequests that of different requests in them, from which a part is
	// quarantined. A sound request that is repeated can meet a second crash, rarely one with another request's part.
	// minBroadCrashes applies to a part that others follow: two deadly ones behind it reach it together no sooner than
	// one of them reaches minCrashes.
	minCrashes      = 3
	minBroadCrashes = 5
	minRequests     = 2
	// casualtyTTL is how long evidence is kept after the last crash or refusal.
	casualtyTTL = 5 * clock.Minute
	// startTTL is how long the start of an answer is remembered for parts that are not in evidence.
	startTTL = 1 * clock.Minute
	// minTrialDelay is the least time between a part's last crash or trial and the next trial. The delay is also
	// trialBackoff times the time since its first crash. maxTrials is how many requests with a part that crashes servers the
	// platform tolerates.
	minTrialDelay = 1 * clock.Minute
	trialBackoff  = 9
	maxTrials     = 3
	// minTrialWait is the least time after which callers are told to come back.
	minTrialWait = 1 * clock.Second
	// Limits of the memory. maxSupport is the number of casualties kept for a quarantined part.
	maxCasualties = 256
	maxSupport    = 16
	maxStarts     = 8192
)

// casualty is a Casualty with times of the local clock.
type casualty struct {
	server, request       uint32
	sent, broken, refused clock.Millis
	parts                 []uint64
	// addedAt is when it came to this list.
	addedAt clock.Millis
}

// key identifies a casualty.
type key struct{ server, request uint32 }

func (c *casualty) key() key { return key{c.server, c.request} }

// List holds the evidence and the verdicts. It is soft state: a process that starts receives it from its peers. A List
// must not be used concurrently.
type List struct {
	o Options
	// casualties holds at most maxCasualties. Prune removes those with whose parts answers have begun since.
	casualties map[key]*casualty
	// starts holds when an answer with a part last began. The parts of casualties stay in it, others for startTTL.
	starts map[uint64]clock.Millis
	// trials holds the trials of each part that is in evidence, at most maxTrials, since an answer with it last began.
	trials map[uint64][]trial
	// quarantined holds the parts in quarantine.
	quarantined map[uint64]*record
	// changes counts the changes of the verdicts and of what speaks for them.
	changes int64
	// lastReported is the casualty that the last report ended with.
	lastReported key
}

// record is a part in quarantine.
type record struct {
	evidence
	since clock.Millis
}

// trial is a request that was sent as a trial.
type trial struct {
	request uint32
	at      clock.Millis
}

// New returns an empty list.
func New(o Options) *List {
	return &List{
		o: o, casualties: make(map[key]*casualty), starts: make(map[uint64]clock.Millis),
		trials: make(map[uint64][]trial), quarantined: make(map[uint64]*record),
	}
}

// RecordCasualty records that a server broke off a request before its answer began. server and request are hashes of the
// server's incarnation and of the request's content.
func (l *List) RecordCasualty(now, sent clock.Millis, server, request uint32, parts []uint64) {
	if len(parts) == 0 {
		return
	}
	c := &casualty{
		server: server, request: request, sent: sent, broken: now, refused: now, parts: slices.Clone(parts), addedAt: now,
	}
	if l.add(c) {
		l.judge(now)
	}
}

// add adds a casualty, or updates when its part was last refused. It reports whether it is new.
func (l *List) add(c *casualty) bool {
	if old, ok := l.casualties[c.key()]; ok {
		old.refused = max(old.refused, c.refused)
		return false
	}
	if !l.relevant(c) {
		return false
	}
	l.casualties[c.key()] = c
	return true
}

// relevant reports whether no answer has begun since for one of a casualty's parts at least.
func (l *List) relevant(c *casualty) bool {
	return slices.ContainsFunc(c.parts, func(p uint64) bool { return c.broken > l.starts[p] })
}

// RecordStart records that the answer to a request with the given parts has begun.
func (l *List) RecordStart(now clock.Millis, parts []uint64) {
	released := false
	for _, p := range parts {
		released = l.addStart(p, now) || released
	}
	if released {
		l.judge(now)
	}
}

// addStart reports whether the start of an answer concerns a part in quarantine.
func (l *List) addStart(part uint64, at clock.Millis) bool {
	old, ok := l.starts[part]
	if at <= old || !ok && len(l.starts) >= 2*maxStarts {
		return false
	}
	l.starts[part] = at
	_, quarantined := l.quarantined[part]
	return quarantined
}

// Quarantined returns the first part in quarantine among those given, and the time after which a request with it may be
// tried, or the part may be forgotten. It returns false if there is none.
func (l *List) Quarantined(now clock.Millis, parts []uint64) (part uint64, wait clock.Millis, ok bool) {
	for _, p := range parts {
		if _, ok := l.quarantined[p]; !ok {
			continue
		}
		for _, c := range l.casualties {
			if slices.Contains(c.parts, p) {
				c.refused = now
			}
		}
		due, ok := l.trialDue(p)
		if !ok {
			return p, casualtyTTL, true
		}
		return p, max(minTrialWait, due-now), true
	}
	return 0, 0, false
}

// TrialDue reports whether a request with the given parts may be sent to test whether those in quarantine still crash
// servers.
func (l *List) TrialDue(now clock.Millis, parts []uint64) bool {
	quarantined := false
	for _, p := range parts {
		if _, ok := l.quarantined[p]; !ok {
			continue
		}
		if due, ok := l.trialDue(p); !ok || now < due {
			return false
		}
		quarantined = true
	}
	return quarantined
}

// TakeTrial is TrialDue for a request that is sent if the result is true. request is the hash of its content.
func (l *List) TakeTrial(now clock.Millis, request uint32, parts []uint64) bool {
	if !l.TrialDue(now, parts) {
		return false
	}
	for _, p := range parts {
		if _, ok := l.quarantined[p]; ok {
			l.addTrial(p, trial{request: request, at: now})
		}
	}
	return true
}

// trialDue returns when a request with a part in quarantine may next be sent as a trial; false if none may.
func (l *List) trialDue(part uint64) (clock.Millis, bool) {
	r := l.quarantined[part]
	last := r.last
	for _, t := range l.trials[part] {
		last = max(last, t.at)
	}
	due := last + max(minTrialDelay, trialBackoff*(last-r.first))
	return max(due, r.since+minTrialDelay), len(l.trials[part]) < maxTrials
}

// addTrial adds a trial of a part, unless an answer with the part has begun since.
func (l *List) addTrial(part uint64, t trial) {
	known := slices.ContainsFunc(l.trials[part], func(o trial) bool { return o.request == t.request })
	if known || t.at < l.starts[part] || len(l.trials[part]) == maxTrials {
		return
	}
	l.trials[part] = append(l.trials[part], t)
	l.changes++
}

// Count returns the number of parts in quarantine.
func (l *List) Count() int { return len(l.quarantined) }

// Prune removes expired evidence.
func (l *List) Prune(now clock.Millis) {
	n := len(l.casualties)
	maps.DeleteFunc(l.casualties, func(_ key, c *casualty) bool {
		return now-c.refused > casualtyTTL || !l.relevant(c)
	})
	mentioned := make(map[uint64]bool)
	for _, c := range l.casualties {
		for _, p := range c.parts {
			mentioned[p] = true
		}
	}
	ttl := startTTL
	if len(l.starts) > maxStarts {
		ttl /= 4
	}
	maps.DeleteFunc(l.starts, func(p uint64, at clock.Millis) bool { return !mentioned[p] && now-at > ttl })
	maps.DeleteFunc(l.trials, func(p uint64, list []trial) bool { return !mentioned[p] || list[len(list)-1].at < l.starts[p] })
	if len(l.casualties) < n {
		l.judge(now)
	}
}

// limit removes casualties until maxCasualties is met: those of parts in quarantine beyond maxSupport, then the oldest.
func (l *List) limit(sorted []*casualty) {
	for p := range l.quarantined {
		var support []*casualty
		for _, c := range sorted {
			if slices.Contains(c.parts, p) {
				support = append(support, c)
			}
		}
		// The first and the last determine when a trial is due.
		for i := maxSupport - 1; i < len(support)-1; i++ {
			delete(l.casualties, support[i].key())
		}
	}
	for _, c := range sorted {
		if len(l.casualties) <= maxCasualties {
			return
		}
		if !slices.ContainsFunc(c.parts, func(p uint64) bool { return l.quarantined[p] != nil }) {
			delete(l.casualties, c.key())
		}
	}
}

// sorted returns the casualties in the order in which they were broken off.
func (l *List) sorted() []*casualty {
	return slices.SortedFunc(maps.Values(l.casualties), func(a, b *casualty) int {
		return cmp.Or(cmp.Compare(a.broken, b.broken), cmp.Compare(a.server, b.server), cmp.Compare(a.request, b.request))
	})
}
