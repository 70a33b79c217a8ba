package direct

import (
	"context"
	"fmt"
	"slices"
	"time"

	"github.com/laburnumring/laburnumring"
	"github.com/laburnumring/laburnumring/internal/event"
	"github.com/laburnumring/laburnumring/internal/intake"
	"github.com/laburnumring/laburnumring/internal/lineage"
	"github.com/laburnumring/laburnumring/internal/upstream"
	"github.com/laburnumring/laburnumring/pkg/clock"
)

const (
	// maxRecordWait limits how long a request that takes up a stream waits for the record and the list.
	maxRecordWait = 1 * time.Second
	// maxConfirmWait is the same for the list while one version serves.
	maxConfirmWait = 100 * time.Millisecond
)

// Reasons of refusals of requests that take up a stream.
const (
	// reasonVersionUnknown means that nobody knows which software version began the stream.
	reasonVersionUnknown = "version_unknown"
	// reasonRecordUnreadable means that it could not be asked.
	reasonRecordUnreadable = "version_record_unreadable"
	// reasonRecordRecovering means that the platform has recovered from a backup, and that the servers' versions may not
	// be listed again yet.
	reasonRecordRecovering = "version_record_recovering"
	// unknownRetryAfter is time enough for the origin of a stream to be recorded.
	unknownRetryAfter = 500 * clock.Millis(1)
)

// resolveOrigin determines the software version at which a stream that the caller takes up must go on. It returns a
// refusal if that cannot be known.
func (r *Router) resolveOrigin(ctx context.Context, c *call) *intake.RefusedError {
	if !c.route.Resumable() || c.head.LastEvent == "" {
		return nil
	}
	now, reads := r.o.Clock.Now(), r.recordReads()
	o, resolution := r.resolve(c, false)
	source := "own"
	if resolution == lineage.Unread {
		if !r.awaitRecord(ctx, reads) {
			return r.refuseTakeUp(c, reasonRecordUnreadable)
		}
		o, resolution = r.resolve(c, true)
		source = "record"
	}
	if resolution == lineage.Unsettled {
		settles := r.settlesAt()
		if now < settles || !r.awaitListSince(ctx, settles, maxRecordWait) {
			return r.refuseRecovering(c, settles)
		}
		o, resolution = r.resolve(c, true)
	}
	c.origin = o
	switch resolution {
	case lineage.Known:
		c.takenUp = true
	case lineage.Only:
		source = "only"
	case lineage.Unsettled:
		return r.refuseRecovering(c, r.settlesAt())
	default:
		return r.refuseTakeUp(c, reasonVersionUnknown)
	}
	refusal := r.confirmOrigin(ctx, c, now)
	if refusal != nil && refusal.Reason == reasonVersionUnknown && source == "own" && r.awaitRecord(ctx, reads) {
		// The record may have the origin as verified since this router learned it.
		refusal = r.confirmOrigin(ctx, c, now)
	}
	if refusal != nil {
		return refusal
	}
	if resolution == lineage.Only && r.severalVersions(c.service) {
		// A server has started again at another version under its id.
		return r.refuseTakeUp(c, reasonVersionUnknown)
	}
	r.logTakeUp(c, source)
	return nil
}

func (r *Router) severalVersions(service string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.lineage.Several(service)
}

func (r *Router) resolve(c *call, read bool) (laburnumring.StreamOrigin, lineage.Resolution) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lineage.ListRead(r.listReads.NewestAt())
	return r.lineage.Resolve(c.service, laburnumring.StreamKey(c.head.Resumes), c.head.Resumes != "", read)
}

// confirmOrigin returns a refusal if the list, read after the given time, shows that the request's stream may be of
// another version than its origin says, as its server has started again under its id while several versions serve, and
// the origin is not verified. An entry may be older than the server that it names, so the list is read again before each
// stream goes on, as far as it can be.
func (r *Router) confirmOrigin(ctx context.Context, c *call, since clock.Millis) *intake.RefusedError {
	wait := maxConfirmWait
	if r.severalVersions(c.service) {
		wait = maxRecordWait
	}
	read := r.awaitListSince(ctx, since, wait)
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.lineage.Several(c.service) {
		return nil
	}
	if !read {
		return r.refuseTakeUp(c, reasonRecordUnreadable)
	}
	if o, ok := r.lineage.Origin(c.origin.Stream); ok && o.Software == c.origin.Software {
		c.origin = o
	}
	if slices.ContainsFunc(r.roster.Known(), c.origin.Contradicts) {
		return r.refuseTakeUp(c, reasonVersionUnknown)
	}
	return nil
}

// confirmVersion checks that the server at the other end of a connection is the one that was chosen to go on with a
// stream, by a list that was read after the connection was made. If not, it returns how the attempt ended.
func (r *Router) confirmVersion(ctx context.Context, c *call, d intake.Decision, conn *upstream.Conn) (attemptEnd, bool) {
	if c.origin.Software == 0 {
		return attemptEnd{}, false
	}
	several := r.severalVersions(c.service)
	wait := maxConfirmWait
	if several {
		wait = maxRecordWait
	}
	read := r.awaitListSince(ctx, conn.DialedAt(), wait)
	r.mu.Lock()
	listed := slices.ContainsFunc(r.readyServers, func(e laburnumring.ServerEntry) bool {
		return e.WithoutHeartbeat() == d.Server.WithoutHeartbeat()
	})
	r.mu.Unlock()
	switch {
	case !listed:
		_ = conn.Close()
		return attemptEnd{
			result: intake.NotRun, err: fmt.Errorf("backend server %s left or started again meanwhile", d.Server.ID),
		}, true
	case !read && several:
		r.pool.Return(conn)
		r.refuseAssigned(c, d, r.refuseTakeUp(c, reasonRecordUnreadable))
		return attemptEnd{result: intake.NotRun, final: true}, true
	}
	return attemptEnd{}, false
}

func (r *Router) logTakeUp(c *call, source string) {
	r.metrics.takenUp.WithLabelValues(c.service, source).Inc()
	r.mu.Lock()
	recorded, listed := r.lineage.Counts(c.service)
	era := r.roster.Era()
	r.mu.Unlock()
	r.o.Logger.Log(event.StreamTakenUp, "id", c.head.ID, "resumes", c.head.Resumes, "after", c.head.LastEvent,
		"source", source, "software", c.origin.Software, "waited_ms", int64(r.o.Clock.Now()-c.arrived),
		"recorded", recorded, "listed", listed, "era", era)
}

func (r *Router) settlesAt() clock.Millis {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.lineage.SettlesAt()
}

// refuseRecovering refuses a request until the given time.
func (r *Router) refuseRecovering(c *call, until clock.Millis) *intake.RefusedError {
	refusal := r.refuseTakeUp(c, reasonRecordRecovering)
	refusal.RetryAfter = max(rejectRetryAfter, until-r.o.Clock.Now())
	return refusal
}

func (r *Router) refuseTakeUp(c *call, reason string) *intake.RefusedError {
	r.metrics.takenUp.WithLabelValues(c.service, reason).Inc()
	return &intake.RefusedError{Reason: reason, RetryAfter: unknownRetryAfter}
}

// recordReads returns the number of reads of the record that have begun.
func (r *Router) recordReads() int64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.record.begun
}

// awaitRecord waits until a read of the record has succeeded that began after the given number of others. It returns
// false if such a read fails or takes too long. The time would not do: a process may stand still while it reads, and its
// clock with it.
func (r *Router) awaitRecord(ctx context.Context, reads int64) bool {
	ctx, cancel := context.WithTimeout(ctx, maxRecordWait)
	defer cancel()
	for {
		r.mu.Lock()
		updated, succeeded, failed := r.record.updated, r.record.succeeded, r.record.failed
		r.mu.Unlock()
		if succeeded > reads {
			return true
		}
		if failed > reads {
			return false
		}
		wake(r.record.wanted)
		select {
		case <-updated:
		case <-ctx.Done():
			return false
		}
	}
}

// awaitListSince waits until the list of servers has been the platform's newest since the given time. It returns false
// if the list cannot be read or that takes longer than wait.
func (r *Router) awaitListSince(ctx context.Context, since clock.Millis, wait time.Duration) bool {
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	for {
		r.mu.Lock()
		updated, at, unreachable := r.listUpdated, r.listReads.NewestAt(), r.listUnreachable
		r.mu.Unlock()
		if at >= since {
			return true
		}
		if unreachable {
			return false
		}
		wake(r.listWanted)
		select {
		case <-updated:
		case <-ctx.Done():
			return false
		}
	}
}
