// Package asking decides when an agent with idle slots asks routers for work, and which routers it asks.
package asking

import (
	"slices"

	"github.com/laburnumring/laburnumring/pkg/clock"
)

// Options configures a Poller.
type Options struct {
	// Batch is the number of routers that are asked at once; 8 if zero.
	Batch int
	// MinDelay and MaxDelay limit the time between two batches; 5 ms and 100 ms if zero.
	MinDelay clock.Millis
	MaxDelay clock.Millis
}

// Defaults of Options.
const (
	defaultBatch    = 8
	defaultMinDelay = 5 * clock.Millis(1)
	defaultMaxDelay = 100 * clock.Millis(1)
)

// Poller asks each router once per round, in batches with capped exponential backoff between them. After a round all
// routers know of the idle slots, so none is asked until the next round starts. A Poller is not safe for concurrent
// use.
type Poller struct {
	o Options
	// last is the name of the router that was asked last. The next batch starts after it.
	last string
	// nextBatch is when the next batch may be asked. delay is the time between that batch and the one after it.
	nextBatch clock.Millis
	delay     clock.Millis
	// remaining is the number of routers that the round has not asked yet; -1 before its first batch.
	remaining int
}

// New returns a Poller whose first round starts at once.
func New(o Options) *Poller {
	if o.Batch == 0 {
		o.Batch = defaultBatch
	}
	if o.MinDelay == 0 {
		o.MinDelay = defaultMinDelay
	}
	if o.MaxDelay == 0 {
		o.MaxDelay = defaultMaxDelay
	}
	return &Poller{o: o, delay: o.MinDelay, remaining: -1}
}

// StartRound starts a new round without delay. Call it while no slot is idle: routers that learn of that send no more
// tickets until they are asked again.
func (t *Poller) StartRound() {
	t.nextBatch = 0
	t.delay = t.o.MinDelay
	t.remaining = -1
}

// Next returns the routers to ask now. routers holds those that can be asked, sorted by name.
func (t *Poller) Next(now clock.Millis, routers []string) []string {
	if now < t.nextBatch || len(routers) == 0 || t.remaining == 0 {
		return nil
	}
	if t.remaining < 0 {
		t.remaining = len(routers)
	}
	t.nextBatch = now + t.delay
	t.delay = min(t.o.MaxDelay, 2*t.delay)
	first, exact := slices.BinarySearch(routers, t.last)
	if exact {
		first++
	}
	var out []string
	for i := range min(t.o.Batch, t.remaining, len(routers)) {
		out = append(out, routers[(first+i)%len(routers)])
	}
	t.remaining -= len(out)
	t.last = out[len(out)-1]
	return out
}
