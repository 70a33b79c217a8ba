package direct

import (
	"cmp"
	"context"
	"net/netip"
	"slices"
	"time"

	"github.com/laburnumring/laburnumring"
	"github.com/laburnumring/laburnumring/internal/event"
	"github.com/laburnumring/laburnumring/internal/gossip"
	"github.com/laburnumring/laburnumring/internal/interval"
	"github.com/laburnumring/laburnumring/pkg/clock"
)

const (
	// originInterval is the time between two records of the origins of streams. originWriters is the number of routers
	// that record them for all, so that the calls do not grow with the routers.
	originInterval = 300 * time.Millisecond
	originWriters  = 3
	// maxRelays limits the origins in one message to peers, and relayRepeats is how many messages to each peer name one,
	// as some are lost.
	maxRelays    = 32
	relayRepeats = 3
	// maxOriginBatch is the largest number of origins that are recorded at once.
	maxOriginBatch = 4096
	// recordPause is the time between two reads of the record, so that requests which take up streams at the same time
	// share one. recordMaxAge is the age above which it is read anyway while several versions serve.
	recordPause  = 25 * time.Millisecond
	recordMaxAge = 10 * clock.Second
	// recordTimeout limits a call that reads or writes the record.
	recordTimeout = 700 * time.Millisecond
	// admissionInterval is the time between two checks whether versions have to be recorded or removed, apart from those
	// after a change of the list.
	admissionInterval = 1 * time.Second
	// maxRecordPause limits the pause between two calls that write the record while they fail.
	maxRecordPause = 2 * time.Second
	// maxAnnouncements limits the versions that are taken from one message of a peer.
	maxAnnouncements = 64
)

// record is the state of a router's reads of the platform's record of versions and origins.
type record struct {
	// wanted wakes the reader.
	wanted chan struct{}
	// begun counts the reads. readAt is when the last successful one began; succeeded and failed are the numbers of the
	// last ones that did.
	begun     int64
	readAt    clock.Millis
	succeeded int64
	failed    int64
	// failing is set after a failed call until one succeeds.
	failing bool
	// updated is closed and replaced after each read.
	updated chan struct{}
	// admissionWanted wakes the writer of versions.
	admissionWanted chan struct{}
}

func newRecord() record {
	return record{
		wanted: make(chan struct{}, 1), updated: make(chan struct{}), admissionWanted: make(chan struct{}, 1),
	}
}

// wake wakes the goroutine that receives from c, at once or after what it is doing.
func wake(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// followRecord reads the record of versions and origins when it is wanted, until ctx ends.
func (r *Router) followRecord(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-r.record.wanted:
		}
		pause := recordPause
		if !r.readRecord(ctx) {
			pause = retryPause
		}
		interval.Sleep(ctx, pause)
	}
}

// readRecord reads the record once. It returns false if that fails.
func (r *Router) readRecord(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, recordTimeout)
	defer cancel()
	began := r.o.Clock.Now()
	r.mu.Lock()
	r.record.begun++
	n := r.record.begun
	r.mu.Unlock()
	list, err := r.o.Lineage.Versions(ctx)
	if err == nil {
		r.mu.Lock()
		r.lineage.SetRecorded(r.o.Clock.Now(), list)
		several := r.lineage.AnySeveral()
		r.mu.Unlock()
		if several {
			var origins []laburnumring.StreamOrigin
			origins, err = r.o.Lineage.Origins(ctx)
			r.mu.Lock()
			r.lineage.Learn(r.o.Clock.Now(), origins)
			r.mu.Unlock()
		}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if err != nil {
		r.record.failed = n
	} else {
		r.record.readAt, r.record.succeeded = began, n
	}
	r.recordCalled("read", err)
	close(r.record.updated)
	r.record.updated = make(chan struct{})
	return err == nil
}

// recordCalled logs the first of several failed calls. The caller holds mu.
func (r *Router) recordCalled(call string, err error) {
	if err != nil && !r.record.failing {
		r.o.Logger.Log(event.LineageUnreachable, "call", call, "error", err)
	}
	r.record.failing = err != nil
}

// admitVersions records the software versions that may begin streams, and removes those that no longer have any, until
// ctx ends.
func (r *Router) admitVersions(ctx context.Context) {
	if own := r.o.Address.Addr(); r.o.FirstStart && (len(r.o.Seeds) == 0 || slices.Contains(r.o.Seeds, own)) {
		r.confirmEmpty(ctx)
	}
	for ctx.Err() == nil {
		r.admit(ctx)
		r.confirmRecord(ctx)
		r.forget(ctx)
		select {
		case <-ctx.Done():
		case <-r.record.admissionWanted:
		case <-time.After(admissionInterval):
		}
	}
}

func (r *Router) admit(ctx context.Context) {
	for pause := retryPause; ctx.Err() == nil; pause = min(2*pause, maxRecordPause) {
		r.mu.Lock()
		versions, era := r.lineage.Unadmitted(), r.roster.Era()
		r.mu.Unlock()
		if len(versions) == 0 {
			return
		}
		writeCtx, cancel := context.WithTimeout(ctx, recordTimeout)
		err := r.o.Lineage.AddVersions(writeCtx, versions)
		cancel()
		r.mu.Lock()
		r.recordCalled("add_versions", err)
		// After a recovery of the platform the write may be lost.
		if err == nil && r.roster.Era() == era {
			r.lineage.Admit(r.o.Clock.Now(), versions)
			r.o.Logger.Log(event.VersionsAdmitted, "versions", versions)
			r.admissionChanged()
		}
		r.mu.Unlock()
		if err != nil {
			interval.Sleep(ctx, pause)
		}
	}
}

// confirmEmpty confirms the record at the first start of the whole system, before any stream began. The seeds do so for
// all. If that fails, the record is confirmed once the list has settled.
func (r *Router) confirmEmpty(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, recordTimeout)
	defer cancel()
	list, err := r.o.Lineage.Versions(ctx)
	if err == nil && len(list.Versions) == 0 && !list.Complete {
		err = r.confirmEra(ctx, list.Era)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.recordCalled("confirm_versions", err)
}

// confirmRecord confirms the record of versions once it is complete after a recovery of the platform. The routers that
// record origins do so for all.
func (r *Router) confirmRecord(ctx context.Context) {
	r.mu.Lock()
	r.lineage.ListRead(r.listReads.NewestAt())
	era, due := r.lineage.Confirmable()
	due = due && r.rank() < originWriters
	r.mu.Unlock()
	if !due {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, recordTimeout)
	defer cancel()
	err := r.confirmEra(ctx, era)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.recordCalled("confirm_versions", err)
}

// confirmEra records that the record of versions is complete in an era.
func (r *Router) confirmEra(ctx context.Context, era int64) error {
	if err := r.o.Lineage.ConfirmVersions(ctx, era); err != nil {
		return err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lineage.Confirmed(era)
	r.o.Logger.Log(event.VersionsConfirmed, "era", era)
	return nil
}

// forget removes versions that no longer have streams from the record. One router does so for all.
func (r *Router) forget(ctx context.Context) {
	now := r.o.Clock.Now()
	r.mu.Lock()
	age := r.listAge(now)
	if age == gossip.UnknownAge {
		age = now
	}
	r.lineage.Prune(now, age)
	r.admissionChanged()
	versions := r.lineage.Forgettable(now)
	if r.lineage.AnySeveral() && now-r.record.readAt > recordMaxAge {
		wake(r.record.wanted)
	}
	due := len(versions) > 0 && age <= maxSendListAge && r.rank() == 0
	r.mu.Unlock()
	if !due {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, recordTimeout)
	defer cancel()
	list, err := r.o.Lineage.Versions(ctx)
	if err == nil {
		err = r.o.Lineage.RemoveVersion(ctx, versions[0], list)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.recordCalled("remove_version", err)
	if err != nil {
		// The record may have changed meanwhile; the next check tries again.
		return
	}
	r.lineage.Forget(versions[0])
	r.o.Logger.Log(event.VersionForgotten, "version", versions[0])
}

// admissionChanged applies a change of the versions that may begin streams to the decisions. The caller holds mu.
func (r *Router) admissionChanged() {
	r.intake.SetAdmitted(r.lineage.Admitted(r.o.Clock.Now()))
	r.deliverDecisions()
}

// recordOrigins records the origins of streams while several versions serve, until ctx ends.
func (r *Router) recordOrigins(ctx context.Context) {
	backoff := time.Duration(0)
	for ctx.Err() == nil {
		if r.appendOrigins(ctx) {
			backoff = 0
		} else {
			backoff = min(max(retryPause, 2*backoff), maxRecordPause)
		}
		interval.Sleep(ctx, max(originInterval, backoff))
	}
}

// appendOrigins records the origins that have not been recorded yet. It returns false if that fails.
func (r *Router) appendOrigins(ctx context.Context) bool {
	writer := r.rank() < originWriters
	r.mu.Lock()
	origins, era := r.lineage.Unrecorded(r.o.Clock.Now(), maxOriginBatch, writer), r.roster.Era()
	r.mu.Unlock()
	if len(origins) == 0 {
		return true
	}
	ctx, cancel := context.WithTimeout(ctx, recordTimeout)
	defer cancel()
	err := r.o.Lineage.AppendOrigins(ctx, origins)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.recordCalled("append_origins", err)
	if err != nil {
		return false
	}
	if r.roster.Era() == era {
		r.lineage.Recorded(origins)
	}
	r.metrics.origins.Add(float64(len(origins)))
	return true
}

// relayedOrigins returns the origins that messages to the routers which record them carry, encoded, and whether a peer is
// one of these.
func (r *Router) relayedOrigins() (origins []byte, to func(netip.Addr) bool) {
	times := relayRepeats * r.gossip.Rounds()
	r.mu.Lock()
	relays := r.lineage.Relays(maxRelays, times)
	r.mu.Unlock()
	if len(relays) == 0 {
		return nil, nil
	}
	writers := r.writers()
	return laburnumring.EncodeOrigins(relays), func(a netip.Addr) bool { return slices.Contains(writers, a) }
}

// writers returns the routers that record the origins of streams for all: the first few in the order of rank, perhaps
// this one too.
func (r *Router) writers() []netip.Addr {
	all := append(r.gossip.Peers(), r.o.Address.Addr())
	slices.SortFunc(all, func(a, b netip.Addr) int { return cmp.Compare(orderOf(a), orderOf(b)) })
	return all[:min(len(all), originWriters)]
}
