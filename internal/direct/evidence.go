package direct

import (
	"context"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/laburnumring/laburnumring/internal/event"
	"github.com/laburnumring/laburnumring/internal/interval"
	"github.com/laburnumring/laburnumring/internal/quarantine"
	"github.com/laburnumring/laburnumring/pkg/clock"
)

const (
	// evidenceWriters is the number of routers that keep the evidence on the platform for all.
	evidenceWriters = 3
	// evidenceDelay is how long a router that has started waits for its peers before it reads the evidence: most need not,
	// as the first few routers read it and tell the others.
	evidenceDelay = 300 * time.Millisecond
	// evidenceInterval is the time between two checks whether the evidence has to be written, and the least between two
	// writes. A change that is not one of the verdicts waits for lazyInterval.
	evidenceInterval = 500 * time.Millisecond
	lazyInterval     = 5 * clock.Second
	// evidenceRefresh is the time after which evidence for verdicts is written again without a change, as it is kept for a
	// time after the last refusal.
	evidenceRefresh = 1 * clock.Minute
	// evidenceTimeout limits a call that reads or writes the evidence, and maxEvidencePause the pause between two calls
	// while they fail.
	evidenceTimeout  = 1 * time.Second
	maxEvidencePause = 2 * time.Second
)

// evidenceRecord is the evidence of one writer on the platform.
type evidenceRecord struct {
	// At is when it was written.
	At         clock.Millis      `cbor:"1,keyasint"`
	Quarantine quarantine.Report `cbor:"2,keyasint"`
}

func (e evidenceRecord) empty() bool {
	return len(e.Quarantine.Casualties) == 0
}

// evidence is the state of a router's copy of the evidence on the platform.
type evidence struct {
	// wanted wakes the writer.
	wanted chan struct{}
	// read is set once the records have been read, and recorded while this router's may hold something.
	read, recorded bool
	// written is the last evidence that was written, and writtenAt the time.
	written   quarantine.Version
	writtenAt clock.Millis
	// failing is set after a failed call until one succeeds.
	failing bool
}

// due reports whether evidence has to be written. verdicts is set if any is in force.
func (e *evidence) due(now clock.Millis, v quarantine.Version, empty, verdicts bool) bool {
	age := now - e.writtenAt
	switch {
	case empty:
		return e.recorded && age >= lazyInterval
	case v.Verdicts != e.written.Verdicts:
		return age >= clock.FromDuration(evidenceInterval)
	case !e.recorded || v != e.written:
		return age >= lazyInterval
	}
	return verdicts && age >= evidenceRefresh
}

// keepEvidence keeps the evidence against requests that crash servers on the platform, until ctx ends.
func (r *Router) keepEvidence(ctx context.Context) {
	interval.Sleep(ctx, evidenceDelay)
	pause := evidenceInterval
	for ctx.Err() == nil {
		ok := true
		if rank := r.rank(); rank < evidenceWriters {
			ok = r.readEvidence(ctx) && r.writeEvidence(ctx, rank)
		}
		if !ok {
			pause = min(2*pause, maxEvidencePause)
			interval.Sleep(ctx, pause)
			continue
		}
		pause = evidenceInterval
		select {
		case <-ctx.Done():
		case <-r.evidence.wanted:
		case <-time.After(evidenceInterval):
		}
	}
}

// readEvidence reads the evidence that earlier processes have left, once. It returns false if that fails.
func (r *Router) readEvidence(ctx context.Context) bool {
	r.mu.Lock()
	read := r.evidence.read
	r.mu.Unlock()
	if read {
		return true
	}
	ctx, cancel := context.WithTimeout(ctx, evidenceTimeout)
	defer cancel()
	records, err := r.o.Evidence.Evidence(ctx)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.evidenceCalled("read", err)
	if err != nil {
		return false
	}
	r.evidence.read, r.evidence.recorded = true, len(records) > 0
	for _, data := range records {
		r.mergeEvidence(data)
	}
	return true
}

// mergeEvidence adds the evidence of a record on the platform. The caller holds mu.
func (r *Router) mergeEvidence(data []byte) {
	now := r.o.Clock.Now()
	var e evidenceRecord
	if err := cbor.Unmarshal(data, &e); err != nil {
		r.o.Logger.Log(event.PlatformRecordBad, "record", "evidence", "bytes", len(data), "error", err)
		return
	}
	// The time of day may have been set back since.
	age := max(0, now-e.At)
	r.o.Logger.Log(event.EvidenceRead, "age_ms", int64(age), "casualties", len(e.Quarantine.Casualties))
	r.quarantine.Merge(now, e.Quarantine.AddDelay(age))
}

// writeEvidence writes the evidence if it has changed. It returns false if that fails.
func (r *Router) writeEvidence(ctx context.Context, writer int) bool {
	now := r.o.Clock.Now()
	r.mu.Lock()
	e := evidenceRecord{At: now}
	var v quarantine.Version
	e.Quarantine, v = r.quarantine.Evidence(now)
	due := r.evidence.due(now, v, e.empty(), r.quarantine.Count() > 0)
	r.mu.Unlock()
	if !due {
		return true
	}
	var data []byte
	if !e.empty() {
		var err error
		if data, err = cbor.Marshal(e); err != nil {
			r.o.Logger.Log(event.EvidenceUnreachable, "call", "encode", "error", err)
			return false
		}
	}
	ctx, cancel := context.WithTimeout(ctx, evidenceTimeout)
	defer cancel()
	err := r.o.Evidence.SetEvidence(ctx, writer, data)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.evidenceCalled("write", err)
	if err != nil {
		return false
	}
	r.evidence.recorded, r.evidence.written, r.evidence.writtenAt = len(data) > 0, v, now
	r.metrics.evidenceWrites.Inc()
	return true
}

// evidenceCalled logs the first of several failed calls. The caller holds mu.
func (r *Router) evidenceCalled(call string, err error) {
	if err != nil && !r.evidence.failing {
		r.o.Logger.Log(event.EvidenceUnreachable, "call", call, "error", err)
	}
	r.evidence.failing = err != nil
}
