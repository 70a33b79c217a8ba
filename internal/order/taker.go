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

// HeldError reports that another holder has the lease.
type HeldError struct {
	// Lease is the other holder's lease.
	Lease FencedLease
}

// Error implements error.
func (e *HeldError) Error() string {
	return fmt.Sprintf("server %s is leased to %s with fencing number %d", e.Lease.Server, e.Lease.Holder, e.Lease.Fence)
}

// Acquirer acquires leases in a log.
type Acquirer struct {
	log laburnumring.Log
	// retryInterval is the time between two steps, each of which reads the log and may append to it.
	retryInterval time.Duration
}

// NewAcquirer returns an Acquirer for log, with the given time between two steps of an acquisition.
func NewAcquirer(log laburnumring.Log, retryInterval time.Duration) *Acquirer {
	return &Acquirer{log: log, retryInterval: retryInterval}
}

// Acquire acquires a lease and returns it with its fencing number. It returns a *HeldError when another holder has a
// live lease and force is not set, or when another lease followed in the log. Failed reads and appends are retried
// until ctx ends; then it returns the error of ctx. Since the lease is read back from the log, the result is correct
// even if the reply to an append was lost.
func (a *Acquirer) Acquire(ctx context.Context, now clock.Millis, l Lease, force bool) (FencedLease, error) {
	attempt := &acquisition{log: a.log, now: now, lease: l, force: force, c: New()}
	for {
		h, done, err := attempt.step(ctx)
		if done {
			return h, err
		}
		if !sleep(ctx, a.retryInterval) {
			return FencedLease{}, errorx.Decorate(ctx.Err(), "lease %s is undecided", l.ID)
		}
	}
}

// acquisition is one attempt to acquire a lease.
type acquisition struct {
	log   laburnumring.Log
	now   clock.Millis
	lease Lease
	force bool
	c     *Controller
	// readBack is set once the lease was read back from the log.
	readBack bool
}

// step reads the stream and appends the lease if it is not there yet. It reports whether the lease is decided; if not,
// another step is needed, also after an error.
func (a *acquisition) step(ctx context.Context) (FencedLease, bool, error) {
	leases, err := Read(ctx, a.log, a.c)
	for _, h := range leases {
		a.readBack = a.readBack || h.ID == a.lease.ID
	}
	if err != nil {
		return FencedLease{}, false, err
	}
	h, ok := a.c.Newest(a.lease.Server)
	if ok && h.ID == a.lease.ID {
		return h, true, nil
	}
	heldByOther := ok && h.Holder != a.lease.Holder && h.Live(a.now)
	if a.readBack || (heldByOther && !a.force) {
		return FencedLease{}, true, &HeldError{Lease: h}
	}
	data, err := json.Marshal(a.lease)
	if err != nil {
		return FencedLease{}, true, err
	}
	_, err = a.log.Append(ctx, Stream, data)
	return FencedLease{}, false, err
}

// Read reads the stream into c up to its end at the time of the last read, and returns the leases that it found.
func Read(ctx context.Context, log laburnumring.LogReader, c *Controller) ([]FencedLease, error) {
	var out []FencedLease
	for {
		page, err := log.Read(ctx, Stream, c.Next(), 0)
		if err != nil {
			return out, errorx.Decorate(err, "read lease stream")
		}
		out = append(out, c.ApplyPage(page)...)
		if c.AtEnd() {
			return out, nil
		}
	}
}

// sleep waits for d and reports whether it passed before ctx ended.
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
