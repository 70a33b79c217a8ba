package claim

import (
	"slices"
	"strings"

	"github.com/laburnumring/laburnumring"
	"github.com/laburnumring/laburnumring/pkg/clock"
)

// Decision ends an own claim.
type Decision struct {
	// ID is the claim's id.
	ID string
	// Err is nil when the claim won, so that its request may start now. Otherwise it is of type *RefusedError
	// and the request must not start.
	Err error
}

// Update is what a page of records changed.
type Update struct {
	// Decisions end own claims.
	Decisions []Decision
	// Bad holds errors of type *BadRecordError.
	Bad []error
	// Gap says that records were gone before they were read, so that everything was forgotten.
	Gap bool
	// RetentionShort says that the log dropped a record that still counted.
	RetentionShort bool
}

// Page takes records read from offset Next on. The time must have been taken after the records were read.
func (c *Controller) Page(now clock.Millis, p laburnumring.Page) Update {
	var u Update
	c.down = false
	u.RetentionShort = c.dropped(now, p.First)
	if p.First > c.next {
		u.Gap = c.current
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
		c.record(now, r, &u)
	}
	if c.next >= p.Next {
		c.current = true
	}
	c.sweep(now)
	return u
}

// Unreachable tells that the stream could not be read.
func (c *Controller) Unreachable() { c.down = true }

// Tick gives up claims that took too long.
func (c *Controller) Tick(now clock.Millis) []Decision {
	var out []Decision
	for _, id := range c.pendingIDs() {
		if p := c.pending[id]; now-p.since > c.o.MaxAge {
			out = append(out, c.giveUp(p.it.e, ReasonUnavailable))
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

// giveUp ends an own claim under which nothing has started, and gives its key back.
func (c *Controller) giveUp(e Entry, reason string) Decision {
	c.Release(e)
	return Decision{ID: e.ID, Err: &RefusedError{ID: e.ID, Reason: reason}}
}

// reset forgets all keys, since records before first were missed.
func (c *Controller) reset(first int64) []Decision {
	c.rewind()
	c.next = first
	var out []Decision
	for _, id := range c.pendingIDs() {
		out = append(out, c.giveUp(c.pending[id].it.e, ReasonUnavailable))
	}
	c.requeue()
	return out
}

// requeue appends releases again that were appended and may have been dropped before they were read back.
func (c *Controller) requeue() {
	var lost []*item
	for _, it := range c.unseen {
		if !slices.Contains(c.queue, it) && !slices.Contains(c.inFlight, it) {
			lost = append(lost, it)
		}
	}
	slices.SortFunc(lost, func(a, b *item) int { return strings.Compare(a.e.ID, b.e.ID) })
	c.queue = append(c.queue, lost...)
}

// record applies one record.
func (c *Controller) record(now clock.Millis, r laburnumring.Record, u *Update) {
	rec, err := decode(r.Offset, r.Data)
	if err != nil {
		u.Bad = append(u.Bad, err)
		return
	}
	if rec.Agent == c.o.Agent {
		c.failures = 0
	}
	if c.current {
		c.active[rec.Agent] = now
	}
	c.recent = append(c.recent, stamp{offset: r.Offset, at: rec.At})
	for _, e := range rec.Entries {
		v := c.x.apply(e)
		c.settle(itemKey{e.Kind, e.ID})
		if p, ok := c.pending[e.ID]; ok && e.Kind == KindClaim && v != undecided {
			u.Decisions = append(u.Decisions, c.decide(now, p, v))
		}
	}
}

// settle notes that an own entry was read back.
func (c *Controller) settle(k itemKey) {
	if it, ok := c.unseen[k]; ok {
		it.seen = true
		delete(c.unseen, k)
	}
}

// decide ends an own claim that was read back. The claim may be too old by now: this process may have been
// paused, or the log slow.
func (c *Controller) decide(now clock.Millis, p *pending, v verdict) Decision {
	e := p.it.e
	if v == lost {
		delete(c.pending, e.ID)
		h, _ := c.x.holder(e.Key)
		return Decision{ID: e.ID, Err: refuseHeld(e, h)}
	}
	if c.expired(now, e) {
		return c.giveUp(e, ReasonExpired)
	}
	if now-p.since > c.o.MaxAge {
		return c.giveUp(e, ReasonUnavailable)
	}
	h, _ := c.x.holder(e.Key)
	c.o.Invariants.Checkf(h.ID == e.ID, "key_held", "claim %s would start while %q holds its key", e.ID, h.ID)
	if h.ID != e.ID {
		return c.giveUp(e, ReasonClaimed)
	}
	delete(c.pending, e.ID)
	return Decision{ID: e.ID}
}

// dropped reports whether the log has dropped a record that still counts.
func (c *Controller) dropped(now clock.Millis, first int64) bool {
	short := false
	for len(c.recent) > 0 && c.recent[0].offset < first {
		short = short || c.recent[0].at >= c.horizon(now)
		c.recent = c.recent[1:]
	}
	return short
}

// sweep forgets what no longer counts.
func (c *Controller) sweep(now clock.Millis) {
	if now-c.swept < c.window/sweepsPerWindow {
		return
	}
	c.swept = now
	if c.window > 0 {
		c.x.expire(now - c.window)
	}
	for agent, at := range c.active {
		if now-at > activePeriod {
			delete(c.active, agent)
		}
	}
	c.recent = slices.DeleteFunc(c.recent, func(s stamp) bool { return s.at < c.horizon(now) })
}

// horizon is the time from which on records still count.
func (c *Controller) horizon(now clock.Millis) clock.Millis {
	return now - c.window - 2*c.o.Skew
}
