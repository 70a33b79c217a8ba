package direct

import (
	"context"
	"errors"
	"time"

	"github.com/laburnumring/laburnumring"
	"github.com/laburnumring/laburnumring/internal/event"
	"github.com/laburnumring/laburnumring/internal/interval"
	"github.com/laburnumring/laburnumring/internal/readshare"
)

// followConfiguration keeps the configuration in force up to date until ctx ends.
func (r *Router) followConfiguration(ctx context.Context) {
	reachable := true
	// synced is set if the last read succeeded, so that the next one can wait for a change.
	synced := false
	for ctx.Err() == nil {
		if !r.readDue(ctx, r.configurationReads, nil) {
			synced = false
			continue
		}
		var t laburnumring.OperatorRecords
		var err error
		changed := true
		if synced {
			var aborted bool
			if t, changed, aborted, err = r.awaitRecords(ctx); aborted {
				synced = false
				continue
			}
		} else {
			t, err = r.o.Configurations.Newest(ctx)
		}
		if ctx.Err() != nil {
			return
		}
		var invalid *laburnumring.InvalidConfigurationError
		if errors.As(err, &invalid) {
			// The platform was read. A valid configuration that came before the invalid one is still applied.
			r.o.Logger.Log(event.ConfigurationBad, "source", "platform", "in_force", r.configurationVersion(), "error", err)
			err = nil
		}
		synced = err == nil
		if synced != reachable {
			reachable = synced
			r.logReachable(event.LogReachable, event.LogUnreachable, err)
		}
		if err != nil {
			interval.Sleep(ctx, retryPause)
			continue
		}
		if changed {
			// Evacuations come first: nothing may be sent by a first configuration before they are known.
			r.applyEvacuations(t.Evacuations)
			r.configure(t.Configuration, "platform")
		}
		r.mu.Lock()
		r.configurationReads.Succeeded(r.o.Clock.Now())
		r.mu.Unlock()
	}
}

// awaitRecords waits for the operator's next records. It reports whether the read was aborted because the store has
// recovered: a read may wait on at an offset that the store has given out again.
func (r *Router) awaitRecords(ctx context.Context) (t laburnumring.OperatorRecords, changed, aborted bool, err error) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	r.mu.Lock()
	r.abortRead = cancel
	r.mu.Unlock()
	t, changed, err = r.o.Configurations.Next(ctx)
	return t, changed, err != nil && errors.Is(context.Cause(ctx), errStoreRestored), err
}

// errStoreRestored aborts a read that waits for records of an earlier era.
var errStoreRestored = errors.New("the platform's store has recovered from a backup")

// readDue reports whether this router is to read now, because it is its turn or wanted. If not, it waits for a short time
// first. wanted may be nil.
func (r *Router) readDue(ctx context.Context, s *readshare.Schedule, wanted <-chan struct{}) bool {
	now := r.o.Clock.Now()
	r.mu.Lock()
	wait := s.Wait(now)
	if wait == 0 {
		s.Started(now)
	}
	r.mu.Unlock()
	if wait == 0 {
		return true
	}
	select {
	case <-ctx.Done():
	case <-time.After(min(wait.Duration(), maxReadWait)):
	case <-wanted:
		return true
	}
	return false
}

func (r *Router) logReachable(up, down event.Event, err error) {
	if err == nil {
		r.o.Logger.Log(up)
		return
	}
	r.o.Logger.Log(down, "error", err)
}

// configure puts a configuration in force unless a newer one already is.
func (r *Router) configure(t laburnumring.ConfigurationText, source string) {
	if len(t.Text) == 0 {
		return
	}
	// Decoding takes long, so it must not hold up requests.
	r.decoding.Lock()
	defer r.decoding.Unlock()
	r.mu.Lock()
	inForce := r.configuration.Version
	r.mu.Unlock()
	if t.Version <= inForce {
		return
	}
	table, err := r.o.Decode(t.Text)
	if err != nil {
		r.o.Logger.Log(event.ConfigurationBad, "version", t.Version, "source", source, "in_force", inForce, "error", err)
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.configuration = t
	r.table.Store(table)
	r.intake.Configure(table)
	r.lineage.SetLongestRequest(table.LongestTimeout())
	r.o.Logger.Log(event.ConfigurationInForce, "version", t.Version, "source", source)
	r.deliverDecisions()
}
