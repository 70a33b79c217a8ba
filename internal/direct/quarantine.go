package direct

import (
	"fmt"
	"slices"
	"strconv"

	"github.com/cespare/xxhash/v2"

	"github.com/laburnumring/laburnumring/internal/event"
	"github.com/laburnumring/laburnumring/internal/intake"
	"github.com/laburnumring/laburnumring/internal/quarantine"
	"github.com/laburnumring/laburnumring/internal/suspect"
	"github.com/laburnumring/laburnumring/pkg/clock"
)

// reasonCrashes is the reason of refusals of requests that crash servers.
const reasonCrashes = "poison"

// crashRefusal returns the refusal of a request that crashes servers, or nil. sending is set if the request is about to
// be sent; it then becomes a trial if one is due.
func (r *Router) crashRefusal(now clock.Millis, c *call, sending bool) *intake.RefusedError {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.suspects.Kind(now, c.fingerprint) == suspect.Confirmed {
		return &intake.RefusedError{Reason: reasonCrashes, RetryAfter: r.suspects.Remaining(now, c.fingerprint)}
	}
	if c.trial && c.attempts == 0 {
		return nil
	}
	part, wait, quarantined := r.quarantine.Quarantined(now, c.parts)
	if !quarantined {
		return nil
	}
	// One router sends the trials, so that the fleet sends no more than one at a time.
	if c.attempts == 0 && r.rank() == 0 && r.quarantine.TrialDue(now, c.parts) {
		if sending {
			c.trial = r.quarantine.TakeTrial(now, uint32(c.fingerprint), c.parts)
			r.o.Logger.Log(event.PartTried, "id", c.head.ID, "part_hash", partHash(part))
		}
		return nil
	}
	return r.partRefusal(c, part, wait)
}

// partHash returns the hash of a part as it is logged.
func partHash(part uint64) string { return fmt.Sprintf("%016x", part) }

func (r *Router) partRefusal(c *call, part uint64, wait clock.Millis) *intake.RefusedError {
	return &intake.RefusedError{
		Reason: reasonCrashes, RetryAfter: wait, Part: c.head.Parts[slices.Index(c.parts, part)].ID,
	}
}

// recordCasualty records that a server broke off a request before its answer began. The caller holds mu.
func (r *Router) recordCasualty(now clock.Millis, c *call, server string, born int64) {
	incarnation := xxhash.Sum64String(server + "@" + strconv.FormatInt(born, 10))
	r.quarantine.RecordCasualty(now, c.sentAt, uint32(incarnation), uint32(c.fingerprint), c.parts)
}

// quarantineChanged logs that a part was quarantined or released, and refuses the waiting requests with it. The caller
// holds mu.
func (r *Router) quarantineChanged(v quarantine.Verdict) {
	wake(r.evidence.wanted)
	hash := partHash(v.Part)
	if !v.Quarantined {
		r.o.Logger.Log(event.PartReleased, "part_hash", hash)
		return
	}
	r.o.Logger.Log(event.PartQuarantined, "part_hash", hash, "crashes", v.Crashes, "requests", v.Requests)
	now := r.o.Clock.Now()
	for seq, c := range r.pending {
		if slices.Contains(c.parts, v.Part) {
			delete(r.pending, seq)
			r.intake.Withdraw(seq)
			_, wait, _ := r.quarantine.Quarantined(now, c.parts)
			c.decided <- intake.Decision{Request: seq, Refusal: r.partRefusal(c, v.Part, wait)}
		}
	}
}
