package claim

import (
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"

	"github.com/laburnumring/laburnumring"
	"github.com/laburnumring/laburnumring/pkg/clock"
)

const (
	// defaultSettleTime covers the pause and the wait of a read by which an agent hears of an older copy, two seconds,
	// its spread of one second, and an append.
	defaultSettleTime = 4 * clock.Second
	// spreadFraction is the fraction of the settle time over which agents spread the appends of lost claims.
	spreadFraction = 0.25
)

// restoration is the state of a controller after the log has come back from an older copy.
type restoration struct {
	// until is when claims that the copy lacks count as appended again by those who know them; 0 if the controller is not
	// waiting for that.
	until clock.Millis
	// appendAt is when this controller appends those that nobody has appended by then; 0 if it knows of none.
	appendAt clock.Millis
	// keys is the state of all keys as the log gives it since; nil if there was no older copy.
	keys *index
}

// observeEra compares the era of a page with the one before. A log that ends before what was read from it has come back
// from an older copy too. It returns false if the page is not to be applied.
func (c *Controller) observeEra(now clock.Millis, p laburnumring.Page, u *Update) bool {
	first := !c.eraKnown
	c.eraKnown = true
	switch {
	case !first && p.Era < c.era:
		// A response of the time before that arrives late.
		return false
	case !first && (p.Era > c.era || p.Next < c.next):
		u.Restored = true
		u.Decisions = c.restore(now, p)
		return false
	case first && p.Era > 0:
		// The copy may be recent, and what it lacks known to others only.
		c.restored.until = now + c.o.SettleTime
	}
	c.era = p.Era
	return true
}

// restore makes the controller read a log that has come back from an older copy from its start. It keeps what it knows of
// keys, and gives up all pending claims, which the copy may lack.
func (c *Controller) restore(now clock.Millis, p laburnumring.Page) []Decision {
	c.era = p.Era
	c.next, c.caughtUp, c.recent = p.First, false, nil
	// A pause after failures or for the share of other agents would last longer than they wait.
	c.failures, c.lastAppend = 0, 0
	spread := spreadFraction * float64(c.o.SettleTime)
	position := float64(xxhash.Sum64String(c.o.Agent)>>11) / (1 << 53)
	c.restored = restoration{
		until: now + c.o.SettleTime, appendAt: now + clock.Millis(position*spread), keys: newIndex(),
	}
	return c.giveUpPending()
}

// giveUpPending gives up all pending claims, and queues entries again that the log may have dropped.
func (c *Controller) giveUpPending() []Decision {
	var out []Decision
	for _, id := range c.pendingIDs() {
		out = append(out, c.giveUp(c.pending[id].local.entry, ReasonUnavailable))
	}
	c.requeueReleases()
	return out
}

// settle appends the claims that a copy lacks, once the log has been read to its end, and ends the wait for others to do
// so.
func (c *Controller) settle(now clock.Millis) {
	if c.restored.appendAt > 0 && c.caughtUp && now >= c.restored.appendAt {
		c.restored.appendAt = 0
		for _, e := range c.lostClaims() {
			c.enqueue(&localEntry{entry: e})
		}
	}
	if c.restored.until > 0 && c.restored.appendAt == 0 && now >= c.restored.until {
		c.restored = restoration{}
	}
}

// lostClaims returns the claims that hold a key, but not for those who know only what the log gives since it came back.
func (c *Controller) lostClaims() []Entry {
	var out []Entry
	for key, k := range c.keys.states {
		if h, _ := c.restored.keys.holder(key); k.holder.ID != "" && h.ID != k.holder.ID {
			e := k.holder
			e.Kind = KindHeld
			out = append(out, e)
		}
	}
	slices.SortFunc(out, func(a, b Entry) int { return strings.Compare(a.ID, b.ID) })
	return out
}
