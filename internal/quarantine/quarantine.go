// Package quarantine finds the prompt parts and the requests that crash backend servers. A crash breaks off many requests,
// most of them sound. What enough crashes have in common is quarantined, unless a request with it was answered to its end
// in between. Verdicts follow from the evidence, so routers that have exchanged it mostly agree.
package quarantine

import (
	"cmp"
	"maps"
	"slices"

	"github.com/laburnumring/laburnumring/pkg/clock"
)

// Break is a request that a server broke off.
type Break struct {
	// Server identifies the server's incarnation and Request the request's content; both are hashes.
	Server  uint32
	Request uint64
	// Parts are the hashes of the prompt's shared parts in order.
	Parts []uint64
	// Sent is when the request was sent, and Broken when it was broken off.
	Sent   clock.Millis
	Broken clock.Millis
	// Late is set if the answer had made some progress. The server crashed less likely because of this request.
	Late bool
	// Gone is set if the server was found to be gone afterwards. One that lives on may break off requests for other
	// reasons.
	Gone bool
}

// Casualty is a request that a server broke off, as routers report it to each other.
type Casualty struct {
	_ struct{} `cbor:",toarray"`
	// Server identifies the server's incarnation and Request the request's content; both are hashes.
	Server  uint32
	Request uint64
	// Sent, Broken and Refused are how long before the report the request was sent, when it was broken off, and when a
	// request with what is held responsible was last refused. Refused equals Broken if there was none.
	Sent    clock.Millis
	Broken  clock.Millis
	Refused clock.Millis
	// Late and Gone are those of Break.
	Late bool
	Gone bool
	// Parts are the hashes of the prompt's shared parts in order.
	Parts []uint64
}

// Answer reports that a request with a part, or with a content, was answered to its end.
type Answer struct {
	_ struct{} `cbor:",toarray"`
	// Key is the hash of the part or of the content.
	Key uint64
	// Age is how long before the report that was.
	Age clock.Millis
}

// Trial reports that a request with a quarantined key was sent to test whether it still crashes servers.
type Trial struct {
	_   struct{} `cbor:",toarray"`
	Key uint64
	// Request is the hash of the request's content.
	Request uint64
	// Age is how long before the report that was.
	Age clock.Millis
}

// Verdict is a change of the state of a part or of a request's content.
type Verdict struct {
	// Key is the hash of the part or of the content.
	Key uint64
	// Content is set if Key is a content.
	Content     bool
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
	// minCrashes is the number of crashes from which a part, or the content of a request, is quarantined. minBroadCrashes
	// applies to a part that others follow: two deadly ones behind it reach it together no sooner than one of them reaches
	// minCrashes. minProgressedCrashes applies to the last part if an answer had made progress, as those of most bystanders
	// have, and minEarlyCrashes to a content if none had.
	minCrashes           = 3
	minBroadCrashes      = 5
	minProgressedCrashes = 4
	minEarlyCrashes      = 2
	// minShare is the share of the crashes from its first one to its last one that must have a part or content in common,
	// as one over minShare. From certainCrashes on the others don't count: they may have another cause.
	minShare       = 3
	certainCrashes = 6
	// togetherTime is the time within which crashes of several servers count once against a part: they may have a common cause.
	togetherTime = 100 * clock.Millis(1)
	// casualtyTTL is how long evidence is kept after the last crash or refusal.
	casualtyTTL = 5 * clock.Minute
	// answerTTL is how long an answer is remembered for parts that are not in evidence.
	answerTTL = 1 * clock.Minute
	// minTrialDelay is the least time between a key's last crash or trial and the next trial. The delay is also
	// trialBackoff times the time since its first crash. maxTrials is how many requests that crash servers the platform
	// tolerates.
	minTrialDelay = 1 * clock.Minute
	trialBackoff  = 9
	maxTrials     = 3
	// minTrialWait is the least time after which callers are told to come back.
	minTrialWait = 1 * clock.Second
	// Limits of the memory. maxSupport is the number of casualties kept for each quarantined key.
	maxCasualties = 512
	maxSupport    = 16
	maxAnswers    = 8192
)

// casualty is a Casualty with times of the local clock.
type casualty struct {
	Break
	// refused is when a request with a key of it in quarantine was last refused, or when it was broken off.
	refused clock.Millis
	// addedAt is when it came to this list, or when its server was found to be gone.
	addedAt clock.Millis
}

// key identifies a casualty.
type key struct {
	server  uint32
	request uint64
}

func (c *casualty) key() key { return key{c.Server, c.Request} }

// keys returns the parts and the content that the casualty speaks against.
func (c *casualty) keys() []uint64 {
	if !c.Gone {
		return c.Parts
	}
	return append(slices.Clip(c.Parts), c.Request)
}

// List holds the evidence and the verdicts. It is soft state: a process that starts receives it from its peers. A List
// must not be used concurrently.
type List struct {
	o Options
	// casualties holds at most maxCasualties. Prune removes those that say nothing since later answers.
	casualties map[key]*casualty
	// byKey holds the casualties that speak against each part and content.
	byKey map[uint64][]*casualty
	// answers holds when a request with a part or content was last answered to its end. Those in byKey stay in it, others
	// for answerTTL.
	answers map[uint64]clock.Millis
	// trials holds the trials of each key that is in evidence, at most maxTrials, since its last answer.
	trials map[uint64][]trial
	// quarantined holds the parts and contents in quarantine.
	quarantined map[uint64]*record
	// changes counts the changes of the verdicts and of what speaks for them.
	changes int64
	// lastReported and lastSupport are the casualties that the last report ended with, of all and of those that support
	// verdicts. reports counts the reports.
	lastReported, lastSupport key
	reports                   uint64
}

// record is a part or content in quarantine.
type record struct {
	evidence
	since clock.Millis
}

// trial is a request that was sent as a trial.
type trial struct {
	request uint64
	at      clock.Millis
}

// New returns an empty list.
func New(o Options) *List {
	return &List{
		o: o, casualties: make(map[key]*casualty), byKey: make(map[uint64][]*casualty),
		answers: make(map[uint64]clock.Millis), trials: make(map[uint64][]trial), quarantined: make(map[uint64]*record),
	}
}

// RecordBreaks records that a server broke off requests. They are recorded again when the server is found to be gone.
// Those that were late say nothing before.
func (l *List) RecordBreaks(now clock.Millis, breaks ...Break) {
	changed := false
	for _, b := range breaks {
		b.Parts = slices.Clone(b.Parts)
		c := &casualty{Break: b, refused: b.Broken, addedAt: now}
		changed = l.add(c) && l.mayJudge(c) || changed
	}
	if changed {
		l.judge(now)
		return
	}
	l.limit()
}

// add adds a casualty, or updates whether its server is gone and when it was last refused. It reports whether it says
// more than what was known.
func (l *List) add(c *casualty) bool {
	if old, ok := l.casualties[c.key()]; ok {
		old.refused = max(old.refused, c.refused)
		old.Late = old.Late && c.Late
		if old.Gone || !c.Gone {
			return false
		}
		old.Gone, old.addedAt = true, c.addedAt
		l.byKey[c.Request] = append(l.byKey[c.Request], old)
		return true
	}
	if c.Late && !c.Gone || !l.relevant(c) {
		return false
	}
	l.casualties[c.key()] = c
	for _, k := range c.keys() {
		l.byKey[k] = append(l.byKey[k], c)
	}
	return true
}

// remove removes a casualty.
func (l *List) remove(c *casualty) {
	delete(l.casualties, c.key())
	for _, k := range c.keys() {
		rest := slices.DeleteFunc(l.byKey[k], func(o *casualty) bool { return o == c })
		if len(rest) == 0 {
			delete(l.byKey, k)
			continue
		}
		l.byKey[k] = rest
	}
}

// relevant reports whether a casualty speaks against a part or content that was not answered since.
func (l *List) relevant(c *casualty) bool {
	return slices.ContainsFunc(c.keys(), func(k uint64) bool { return c.Broken > l.answers[k] })
}

// RecordAnswer records that a request with the given parts and content was answered to its end, by one server.
func (l *List) RecordAnswer(now clock.Millis, request uint64, parts []uint64) {
	released := false
	for _, p := range parts {
		released = l.addAnswer(p, now) || released
	}
	if _, ok := l.byKey[request]; ok {
		released = l.addAnswer(request, now) || released
	}
	if released {
		l.judge(now)
	}
}

// addAnswer reports whether an answer concerns a key in quarantine.
func (l *List) addAnswer(k uint64, at clock.Millis) bool {
	old, ok := l.answers[k]
	if at <= old || !ok && len(l.answers) >= 2*maxAnswers {
		return false
	}
	l.answers[k] = at
	_, quarantined := l.quarantined[k]
	return quarantined
}

// Quarantined returns the first key in quarantine among those given, the parts and the content of a request, and the time
// after which the request may be tried, or the key may be forgotten. It returns false if there is none.
func (l *List) Quarantined(now clock.Millis, keys []uint64) (k uint64, wait clock.Millis, ok bool) {
	for _, k := range keys {
		if _, ok := l.quarantined[k]; !ok {
			continue
		}
		for _, c := range l.byKey[k] {
			c.refused = now
		}
		due, ok := l.trialDue(k)
		if !ok {
			return k, casualtyTTL, true
		}
		return k, max(minTrialWait, due-now), true
	}
	return 0, 0, false
}

// TrialDue reports whether a request with the given keys may be sent to test whether those in quarantine still crash
// servers.
func (l *List) TrialDue(now clock.Millis, keys []uint64) bool {
	quarantined := false
	for _, k := range keys {
		if _, ok := l.quarantined[k]; !ok {
			continue
		}
		if due, ok := l.trialDue(k); !ok || now < due {
			return false
		}
		quarantined = true
	}
	return quarantined
}

// TakeTrial is TrialDue for a request that is sent if the result is true. request is the hash of its content.
func (l *List) TakeTrial(now clock.Millis, request uint64, keys []uint64) bool {
	if !l.TrialDue(now, keys) {
		return false
	}
	for _, k := range keys {
		if _, ok := l.quarantined[k]; ok {
			l.addTrial(k, trial{request: request, at: now})
		}
	}
	return true
}

// trialDue returns when a request with a key in quarantine may next be sent as a trial; false if none may.
func (l *List) trialDue(k uint64) (clock.Millis, bool) {
	r := l.quarantined[k]
	last := r.last
	for _, t := range l.trials[k] {
		last = max(last, t.at)
	}
	due := last + max(minTrialDelay, trialBackoff*(last-r.first))
	return max(due, r.since+minTrialDelay), len(l.trials[k]) < maxTrials
}

// addTrial adds a trial of a key, unless it was answered to its end since. The trials of a content are the same request,
// so only their times tell them apart.
func (l *List) addTrial(k uint64, t trial) {
	known := slices.ContainsFunc(l.trials[k], func(o trial) bool {
		return o.request == t.request && max(o.at-t.at, t.at-o.at) < minTrialDelay/2
	})
	if known || t.at < l.answers[k] || len(l.trials[k]) == maxTrials {
		return
	}
	l.trials[k] = append(l.trials[k], t)
	l.changes++
}

// Count returns the number of parts and contents in quarantine.
func (l *List) Count() int { return len(l.quarantined) }

// Casualties returns the number of requests in evidence.
func (l *List) Casualties() int { return len(l.casualties) }

// Prune removes expired evidence.
func (l *List) Prune(now clock.Millis) {
	n := len(l.casualties)
	for _, c := range l.casualties {
		if now-c.refused > casualtyTTL || !l.relevant(c) {
			l.remove(c)
		}
	}
	ttl := answerTTL
	if len(l.answers) > maxAnswers {
		ttl /= 4
	}
	maps.DeleteFunc(l.answers, func(k uint64, at clock.Millis) bool { return l.byKey[k] == nil && now-at > ttl })
	maps.DeleteFunc(l.trials, func(k uint64, list []trial) bool {
		return l.byKey[k] == nil || list[len(list)-1].at < l.answers[k]
	})
	if len(l.casualties) < n {
		l.judge(now)
	}
}

// supports reports whether a casualty speaks against a key in quarantine.
func (l *List) supports(c *casualty) bool {
	return len(l.quarantined) > 0 &&
		slices.ContainsFunc(c.keys(), func(k uint64) bool { return l.quarantined[k] != nil })
}

// weight returns how many casualties a casualty has a key in common with that was not answered since, at most. The
// contents of bystanders have none.
func (l *List) weight(c *casualty) int {
	n := 0
	for _, k := range c.keys() {
		if c.Broken > l.answers[k] {
			n = max(n, len(l.byKey[k]))
		}
	}
	return n
}

// limit removes casualties until maxCasualties is met: those of the least weight that support no verdict, the oldest first,
// then those of keys in quarantine beyond maxSupport.
func (l *List) limit() {
	if len(l.casualties) <= maxCasualties {
		return
	}
	weights := make(map[*casualty]int, len(l.casualties))
	var list []*casualty
	for _, c := range l.casualties {
		if !l.supports(c) {
			weights[c] = l.weight(c)
			list = append(list, c)
		}
	}
	slices.SortFunc(list, func(a, b *casualty) int { return cmp.Or(cmp.Compare(weights[a], weights[b]), compareCasualties(a, b)) })
	// The next few need no search.
	for _, c := range list[:min(len(list), len(l.casualties)-maxCasualties+maxCasualties/16)] {
		l.remove(c)
	}
	for k := range l.quarantined {
		if len(l.casualties) <= maxCasualties {
			return
		}
		support := slices.SortedFunc(slices.Values(l.byKey[k]), compareCasualties)
		// The first and the last determine when a trial is due.
		for i := maxSupport - 1; i < len(support)-1; i++ {
			l.remove(support[i])
		}
	}
}

// compareCasualties orders casualties by when they were broken off.
func compareCasualties(a, b *casualty) int {
	return cmp.Or(cmp.Compare(a.Broken, b.Broken), compareKeys(a.key(), b.key()))
}
