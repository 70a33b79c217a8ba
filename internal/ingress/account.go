// Package ingress accounts for the memory that the callers of all connections together consume, and decides which
// transfer ends early when a portion is used up.
package ingress

import (
	"fmt"
	"sync"
	"time"

	"github.com/laburnumring/laburnumring"
	"github.com/laburnumring/laburnumring/pkg/clock"
)

// Kind is what memory is used for. Each kind has its own portion of the account.
type Kind int

// The kinds.
const (
	// Head is memory of request heads beyond the read buffer that each connection has.
	Head Kind = iota
	// Body is memory of request bodies, from the arrival of their first bytes to the end of the request.
	Body
	// Answer is memory of buffered answers until their caller has read them.
	Answer
	kinds
)

// Kinds returns all kinds.
func Kinds() []Kind { return []Kind{Head, Body, Answer} }

// String returns the kind's name in metrics and errors.
func (k Kind) String() string { return [kinds]string{"head", "body", "answer"}[k] }

// releaseTime limits how long a charge waits for the memory of transfers that were evicted for it. Their handlers need
// only processor time to release it.
const releaseTime = 250 * time.Millisecond

// minTimeLeft is the time to its end from which a transfer may be evicted. Callers on a fast link need less.
const minTimeLeft = 100 * clock.Millis(1)

// FullError reports that a kind's portion is used up, or that the transfer was evicted to make room for others.
type FullError struct {
	Kind Kind
	// Evicted is set if the transfer had been making progress before.
	Evicted bool
}

// Error implements error.
func (e *FullError) Error() string {
	if e.Evicted {
		return fmt.Sprintf("evicted: the memory for each %s was needed by faster callers", e.Kind)
	}
	return fmt.Sprintf("no memory left for another %s", e.Kind)
}

// Options configures an Account.
type Options struct {
	Clock laburnumring.Clock
	// Heads, Bodies and Answers are the portions of the kinds in bytes; 0 means no limit.
	Heads, Bodies, Answers int64
}

// Account accounts for memory. A portion is exceeded only by a transfer that is the only one of its kind, so that each
// request within the configuration's limits is served on an idle router. It is safe for concurrent use. A nil Account
// has no limits.
type Account struct {
	clock  laburnumring.Clock
	limits [kinds]int64

	mu sync.Mutex
	// used is the memory charged, and leaving the part of it that evicted transfers hold.
	used, leaving [kinds]int64
	counts        [kinds]Counts
	// active holds the transfers in progress.
	active map[*Transfer]struct{}
	// freed is closed and replaced when memory is released while charges wait for it.
	freed   chan struct{}
	waiting int
}

// New returns an account without charges.
func New(o Options) *Account {
	return &Account{
		clock: o.Clock, limits: [kinds]int64{Head: o.Heads, Body: o.Bodies, Answer: o.Answers},
		active: make(map[*Transfer]struct{}), freed: make(chan struct{}),
	}
}

// Open returns a transfer that holds no memory. The caller must release it.
func (a *Account) Open(kind Kind) *Transfer {
	if a == nil {
		return nil
	}
	return &Transfer{account: a, kind: kind}
}

// Used returns the memory that is charged to a kind, in bytes, and its limit.
func (a *Account) Used(kind Kind) (used, limit int64) {
	if a == nil {
		return 0, 0
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.used[kind], a.limits[kind]
}

// Counts are what an account has done for lack of memory since its creation.
type Counts struct {
	// Evicted is the number of transfers that were evicted, and Refused that of charges that were refused.
	Evicted, Refused int64
}

// Counts returns the counts of a kind.
func (a *Account) Counts(kind Kind) Counts {
	if a == nil {
		return Counts{}
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.counts[kind]
}

// reserve charges n bytes to a transfer if they fit. Otherwise it returns the transfer to evict, nil if the charge can
// only wait for those that were evicted before; ok is false if the charge is refused.
func (a *Account) reserve(now clock.Millis, t *Transfer, n int64) (victim *Transfer, charged, ok bool) {
	k := t.kind
	switch {
	case t.evicted:
		return nil, false, false
	case a.limits[k] == 0 || a.used[k]+n <= a.limits[k] || a.used[k] == t.held:
		a.used[k] += n
		t.held += n
		return nil, true, true
	case a.used[k]-a.leaving[k]+n <= a.limits[k]:
		return nil, false, true
	}
	list := make([]*Transfer, 0, len(a.active))
	for o := range a.active {
		if o.kind == k && !o.evicted && (o.held > 0 || o == t) {
			list = append(list, o)
		}
	}
	victim = slowest(now, list)
	if victim == nil || victim == t || victim.timeLeft(now) < minTimeLeft {
		a.counts[k].Refused++
		return nil, false, false
	}
	victim.evicted = true
	a.leaving[k] += victim.held
	a.counts[k].Evicted++
	return victim, false, true
}

// slowest returns the transfer that needs the most time to its end, nil if there is none.
func slowest(now clock.Millis, list []*Transfer) *Transfer {
	var found *Transfer
	for _, t := range list {
		if found == nil || t.timeLeft(now) > found.timeLeft(now) {
			found = t
		}
	}
	return found
}

// wake lets the charges that wait for memory try again. The mutex is held.
func (a *Account) wake() {
	if a.waiting == 0 {
		return
	}
	close(a.freed)
	a.freed = make(chan struct{})
}
