package direct

import (
	"fmt"
	"slices"
	"strconv"

	"github.com/cespare/xxhash/v2"

	"github.com/laburnumring/laburnumring/internal/event"
	"github.com/laburnumring/laburnumring/internal/intake"
	"github.com/laburnumring/laburnumring/internal/quarantine"
	"github.com/laburnumring/laburnumring/pkg/clock"
)

// reasonCrashes is the reason of refusals of requests that crash servers.
const reasonCrashes = "poison"

// crashRefusal returns the refusal of a request that crashes servers, or nil. sending is set if the request is about to
// be sent; it then becomes a trial if one is due.
func (r *Router) crashRefusal(now clock.Millis, c *call, sending bool) *intake.RefusedError {
	r.mu.Lock()
	defer r.mu.Unlock()
	if c.trial && c.attempts == 0 {
		return nil
	}
	keys := c.keys()
	key, wait, quarantined := r.quarantine.Quarantined(now, keys)
	if !quarantined {
		return nil
	}
	// One router sends the trials, so that the fleet sends no more than one at a time.
	if c.attempts == 0 && r.rank() == 0 && r.quarantine.TrialDue(now, keys) {
		if sending {
			c.trial = r.quarantine.TakeTrial(now, c.fingerprint, keys)
			r.o.Logger.Log(event.QuarantineTried, "id", c.head.ID, "hash", keyHash(key))
		}
		return nil
	}
	return c.crashError(key, wait)
}

// keys returns the shared parts of the request's prompt and its content, each of which may be in quarantine.
func (c *call) keys() []uint64 { return append(slices.Clip(c.parts), c.fingerprint) }

// keyHash returns the hash of a part or of a content as it is logged.
func keyHash(key uint64) string { return fmt.Sprintf("%016x", key) }

// crashError returns the refusal of a request because of its part or content in quarantine.
func (c *call) crashError(key uint64, wait clock.Millis) *intake.RefusedError {
	e := &intake.RefusedError{Reason: reasonCrashes, RetryAfter: wait}
	if i := slices.Index(c.parts, key); i >= 0 {
		e.Part = c.head.Parts[i].ID
	}
	return e
}

// brokenOff returns the evidence of a request that a server broke off at the given time.
func (c *call) brokenOff(at clock.Millis, server string, born int64) quarantine.Break {
	incarnation := xxhash.Sum64String(server + "@" + strconv.FormatInt(born, 10))
	return quarantine.Break{Server: uint32(incarnation), Request: c.fingerprint, Parts: c.parts, Sent: c.sentAt, Broken: at, Late: c.progressed(at)}
}

// quarantineChanged logs that a part or a content was quarantined or released, and refuses the waiting requests with it.
// The caller holds mu.
func (r *Router) quarantineChanged(v quarantine.Verdict) {
	wake(r.evidence.wanted)
	what := "part"
	if v.Content {
		what = "content"
	}
	if !v.Quarantined {
		r.o.Logger.Log(event.QuarantineReleased, "what", what, "hash", keyHash(v.Key))
		return
	}
	r.o.Logger.Log(event.Quarantined, "what", what, "hash", keyHash(v.Key), "crashes", v.Crashes, "requests", v.Requests)
	now := r.o.Clock.Now()
	for seq, c := range r.pending {
		if slices.Contains(c.keys(), v.Key) {
			delete(r.pending, seq)
			r.intake.Withdraw(seq)
			_, wait, _ := r.quarantine.Quarantined(now, c.keys())
			c.decided <- intake.Decision{Request: seq, Refusal: c.crashError(v.Key, wait)}
		}
	}
}
