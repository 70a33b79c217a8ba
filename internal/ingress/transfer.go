package ingress

import (
	"time"

	"github.com/laburnumring/laburnumring/pkg/clock"
)

// Transfer is one head, body or answer and the memory that it holds. One goroutine uses it. The methods of a nil
// Transfer do nothing.
type Transfer struct {
	account *Account
	kind    Kind

	// The fields below are guarded by the account's mutex.
	//
	// held is the memory charged, in bytes.
	held int64
	// moved of total bytes have been transferred since began, the last ones at movedAt.
	moved, total   int64
	began, movedAt clock.Millis
	// evict ends the transfer's I/O. evicted is set once it was called.
	evict   func()
	evicted bool
}

// Start begins a transfer of total bytes to or from the caller, or of at most that many if its length is not known. From
// now until Settle it may be evicted: evict is called once, from another goroutine that holds the account's lock, and must
// make the transfer's I/O fail without blocking.
func (t *Transfer) Start(total int64, evict func()) {
	if t == nil {
		return
	}
	a := t.account
	now := a.clock.Now()
	a.mu.Lock()
	defer a.mu.Unlock()
	t.total, t.moved, t.began, t.movedAt, t.evict = total, 0, now, now, evict
	a.active[t] = struct{}{}
}

// Moved records that n more bytes have been transferred.
func (t *Transfer) Moved(n int64) {
	if t == nil || n == 0 {
		return
	}
	a := t.account
	now := a.clock.Now()
	a.mu.Lock()
	defer a.mu.Unlock()
	t.moved += n
	t.movedAt = now
}

// Charge charges n bytes. If they do not fit, it evicts transfers that need more time to their end than this one and
// waits until they release their memory. Its errors are of type *FullError.
func (t *Transfer) Charge(n int64) error {
	if t == nil {
		return nil
	}
	a := t.account
	var timeout <-chan time.Time
	for {
		now := a.clock.Now()
		a.mu.Lock()
		victim, charged, ok := a.reserve(now, t, n)
		if victim != nil {
			// A transfer that has settled must not be ended, so the lock is held. The victim may itself wait for memory.
			victim.evict()
			a.wake()
		}
		evicted, freed := t.evicted, a.freed
		if charged || !ok {
			a.mu.Unlock()
			if charged {
				return nil
			}
			return &FullError{Kind: t.kind, Evicted: evicted}
		}
		a.waiting++
		a.mu.Unlock()
		if timeout == nil {
			timeout = time.After(releaseTime)
		}
		var err error
		select {
		case <-freed:
		case <-timeout:
			err = &FullError{Kind: t.kind}
		}
		a.mu.Lock()
		a.waiting--
		if err != nil {
			a.counts[t.kind].Refused++
		}
		a.mu.Unlock()
		if err != nil {
			return err
		}
	}
}

// Evicted reports whether the transfer was evicted.
func (t *Transfer) Evicted() bool {
	if t == nil {
		return false
	}
	t.account.mu.Lock()
	defer t.account.mu.Unlock()
	return t.evicted
}

// Settle ends the transfer's I/O: it keeps its memory and cannot be evicted any more. It returns a *FullError if the
// transfer was evicted before.
func (t *Transfer) Settle() error {
	if t == nil {
		return nil
	}
	a := t.account
	a.mu.Lock()
	defer a.mu.Unlock()
	delete(a.active, t)
	if t.evicted {
		return &FullError{Kind: t.kind, Evicted: true}
	}
	return nil
}

// Release returns the transfer's memory. The transfer may be used again afterwards.
func (t *Transfer) Release() {
	if t == nil {
		return
	}
	a := t.account
	a.mu.Lock()
	defer a.mu.Unlock()
	delete(a.active, t)
	a.used[t.kind] -= t.held
	if t.evicted {
		a.leaving[t.kind] -= t.held
	}
	if t.held > 0 {
		a.wake()
	}
	t.held, t.evicted = 0, false
}

// timeLeft returns the time until the transfer's end at its pace so far. A transfer that has stalled needs at least as
// long as it has been stalled, also if it is short of its end by a single byte. The account's mutex is held.
func (t *Transfer) timeLeft(now clock.Millis) clock.Millis {
	left := max(0, t.total-t.moved)
	atPace := (now - t.began) * clock.Millis(left) / clock.Millis(max(1, t.moved))
	return max(atPace, now-t.movedAt)
}
