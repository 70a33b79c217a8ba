package order

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"github.com/joomcode/errorx"

	"github.com/laburnumring/laburnumring"
	"github.com/laburnumring/laburnumring/pkg/clock"
)

// HeldError reports a lease that another holder has.
type HeldError struct {
	// Held is the other's lease.
	Held Held
}

// Error implements error.
func (e *HeldError) Error() string {
	return fmt.Sprintf("server %s is leased to %s with fencing number %d", e.Held.Server, e.Held.Holder, e.Held.Fence)
}

// Taker takes leases on the log.
type Taker struct {
	log laburnumring.Log
	// pause is the time between two tries to reach the log.
	pause time.Duration
}

// NewTaker returns a taker on log.
func NewTaker(log laburnumring.Log, pause time.Duration) *Taker {
	return &Taker{log: log, pause: pause}
}

// Take takes a lease and returns it with its fencing number. A live lease of another holder is left alone
// unless force is set. A lost reply is settled by reading. Its errors are of type *HeldError, or of ctx.
func (t *Taker) Take(ctx context.Context, now clock.Millis, l Lease, force bool) (Held, error) {
	a := &attempt{log: t.log, now: now, lease: l, force: force, c: New()}
	for {
		h, done, err := a.step(ctx)
		if done {
			return h, err
		}
		if !sleep(ctx, t.pause) {
			return Held{}, errorx.Decorate(ctx.Err(), "lease %s is undecided", l.ID)
		}
	}
}

// attempt is one attempt to take a lease.
type attempt struct {
	log   laburnumring.Log
	now   clock.Millis
	lease Lease
	force bool
	c     *Controller
	// seen says that the lease was read back.
	seen bool
}

// step makes one step towards a decided lease and reports whether it is decided.
func (a *attempt) step(ctx context.Context) (Held, bool, error) {
	leases, err := Read(ctx, a.log, a.c)
	for _, h := range leases {
		a.seen = a.seen || h.ID == a.lease.ID
	}
	if err != nil {
		return Held{}, false, err
	}
	h, ok := a.c.Newest(a.lease.Server)
	if ok && h.ID == a.lease.ID {
		return h, true, nil
	}
	others := ok && h.Holder != a.lease.Holder && h.Live(a.now)
	if a.seen || (others && !a.force) {
		return Held{}, true, &HeldError{Held: h}
	}
	data, err := json.Marshal(a.lease)
	if err != nil {
		return Held{}, true, err
	}
	_, err = a.log.Append(ctx, Stream, data)
	return Held{}, false, err
}

// Read reads the stream into c up to the end that it has at the time of the last read, and returns the leases
// that it found.
func Read(ctx context.Context, log laburnumring.LogReader, c *Controller) ([]Held, error) {
	var out []Held
	for {
		page, err := log.Read(ctx, Stream, c.Next(), 0)
		if err != nil {
			return out, errorx.Decorate(err, "read stream of leases")
		}
		out = append(out, c.Page(page)...)
		if c.Current() {
			return out, nil
		}
	}
}

// sleep waits for d and reports whether ctx goes on.
func sleep(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-t.C:
		return true
	}
}
