package claim

import (
	"slices"
	"strings"

	"github.com/laburnumring/laburnumring"
	"github.com/laburnumring/laburnumring/pkg/clock"
)

// Decision is the result of a claim of this agent.
type Decision struct {
	// ID is the claim's id.
	ID string
	// Err is nil when the claim won and its request may start now. Otherwise it is of type *RefusedError, and the
	// request must not start.
	Err error
}

// Update is the result of applying a page of records.
type Update struct {
	// Decisions are the claims of this agent that were decided.
	Decisions []Decision
	// Bad holds an error of type *BadRecordError for each record that was ignored.
	Bad []error
	// Gap reports whether the log dropped records before they were read, so that the state of all keys was lost.
	Gap bool
	// Restored reports whether the log has come back from an older copy.
	Restored bool
	// RetentionShort reports whether the log dropped a record that still counts.
	RetentionShort bool
}

// ApplyPage applies records that were read from offset Next on. now must have been taken after the records were read.
func (c *Controller) ApplyPage(now clock.Millis, p laburnumring.Page) Update {
	var u Update
	if !c.observeEra(now, p, &u) {
		return u
	}
	c.logDown = false
	u.RetentionShort = c.droppedTooEarly(now, p.First)
	if p.First > c.next && c.restored.keys != nil && !c.caughtUp {
		// Keys that are known are kept, also if the log drops records while it is read again.
		c.next = p.First
	}
	if p.First > c.next {
		u.Gap = c.caughtUp
		u.Decisions = c.reset(p.First)
	}
	for _, r := range p.Records {
		if r.Offset < c.next {
			continue
		}
		if r.Offset > c.next {
			break
		}
		c.next = r.Offset + 1
		c.applyRecord(now, r, &u)
	}
	if c.next >= p.Next {
		c.caughtUp = true
	}
	c.settle(now)
	c.sweep(now)
	return u
}

// ReadFailed records that the stream could not be read.
func (c *Controller) ReadFailed() { c.logDown = true }

// Tick refuses and releases claims that were not decided within MaxAge, and appends claims that the log has lost.
func (c *Controller) Tick(now clock.Millis) []Decision {
	var out []Decision
	c.settle(now)
	for _, id := range c.pendingIDs() {
		if p := c.pending[id]; now-p.requestedAt > c.o.MaxAge {
			out = append(out, c.giveUp(p.local.entry, ReasonUnavailable))
		}
	}
	return out
}

func (c *Controller) pendingIDs() []string {
	ids := make([]string, 0, len(c.pending))
	for id := range c.pending {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

// giveUp refuses a claim of this agent whose request has not started, and releases its key.
func (c *Controller) giveUp(e Entry, reason string) Decision {
	c.Release(e)
	return Decision{ID: e.ID, Err: &RefusedError{ID: e.ID, Reason: reason}}
}

// reset removes the state of all keys, since records before first were missed, and gives up all pending claims.
func (c *Controller) reset(first int64) []Decision {
	c.rewind()
	c.next = first
	return c.giveUpPending()
}

// requeueReleases queues releases again that were appended and that the log may have dropped before they were read
// back.
func (c *Controller) requeueReleases() {
	var lost []*localEntry
	for _, it := range c.unconfirmed {
		if !slices.Contains(c.queue, it) && !slices.Contains(c.inFlight, it) {
			lost = append(lost, it)
		}
	}
	slices.SortFunc(lost, func(a, b *localEntry) int { return strings.Compare(a.entry.ID, b.entry.ID) })
	c.queue = append(c.queue, lost...)
}

// applyRecord applies one record and adds its effects to u.
func (c *Controller) applyRecord(now clock.Millis, r laburnumring.Record, u *Update) {
	rec, err := decode(r.Offset, r.Data)
	if err != nil {
		u.Bad = append(u.Bad, err)
		return
	}
	if rec.Agent == c.o.Agent {
		c.failures = 0
	}
	if c.caughtUp {
		c.lastRecordAt[rec.Agent] = now
	}
	c.recent = append(c.recent, recordTime{offset: r.Offset, at: rec.At})
	for _, e := range rec.Entries {
		v := c.keys.apply(e)
		if c.restored.keys != nil {
			c.restored.keys.apply(e)
		}
		c.confirm(entryKey{e.Kind, e.ID})
		if p, ok := c.pending[e.ID]; ok && e.Kind == KindClaim && v != noEffect {
			u.Decisions = append(u.Decisions, c.decide(now, p, v))
		}
	}
}

// confirm marks an entry of this agent as read back.
func (c *Controller) confirm(k entryKey) {
	if it, ok := c.unconfirmed[k]; ok {
		it.confirmed = true
		delete(c.unconfirmed, k)
	}
}

// decide decides a claim of this agent that was read back. A claim that won may be too old by now, since the process
// may have been paused or the log slow.
func (c *Controller) decide(now clock.Millis, p *pendingClaim, v verdict) Decision {
	e := p.local.entry
	if v == lost {
		delete(c.pending, e.ID)
		h, _ := c.keys.holder(e.Key)
		return Decision{ID: e.ID, Err: heldError(e, h)}
	}
	if c.expired(now, e) {
		return c.giveUp(e, ReasonExpired)
	}
	if now-p.requestedAt > c.o.MaxAge {
		return c.giveUp(e, ReasonUnavailable)
	}
	h, _ := c.keys.holder(e.Key)
	c.o.Invariants.Checkf(h.ID == e.ID, "key_held", "claim %s would start while %q holds its key", e.ID, h.ID)
	if h.ID != e.ID {
		return c.giveUp(e, ReasonClaimed)
	}
	delete(c.pending, e.ID)
	return Decision{ID: e.ID}
}

// droppedTooEarly reports whether the log, which starts at offset first, has dropped a record that still counts.
func (c *Controller) droppedTooEarly(now clock.Millis, first int64) bool {
	short := false
	for len(c.recent) > 0 && c.recent[0].offset < first {
		short = short || c.recent[0].at >= c.neededSince(now)
		c.recent = c.recent[1:]
	}
	return short
}

// sweep removes expired keys, inactive agents and record times that no longer count.
func (c *Controller) sweep(now clock.Millis) {
	if now-c.lastSweep < c.keyWindow/sweepsPerKeyWindow {
		return
	}
	c.lastSweep = now
	if c.keyWindow > 0 {
		c.keys.expire(now - c.keyWindow)
	}
	for agent, at := range c.lastRecordAt {
		if now-at > activeTTL {
			delete(c.lastRecordAt, agent)
		}
	}
	c.recent = slices.DeleteFunc(c.recent, func(s recordTime) bool { return s.at < c.neededSince(now) })
}

// neededSince returns the time of the oldest records that still count.
func (c *Controller) neededSince(now clock.Millis) clock.Millis {
	return now - c.keyWindow - 2*c.o.Skew
}
