// Package asking decides which routers an agent with idle slots asks for work, and when.
package asking

import (
	"slices"

	"github.com/laburnumring/laburnumring/pkg/clock"
)

// Options are the settings of a Turn.
type Options struct {
	// Batch is how many routers are asked at once; 8 when zero.
	Batch int
	// MinDelay and MaxDelay bound the time between two batches; 5 ms and 100 ms when zero.
	MinDelay clock.Millis
	MaxDelay clock.Millis
}

// Defaults of Options.
const (
	defaultBatch    = 8
	defaultMinDelay = 5 * clock.Millis(1)
	defaultMaxDelay = 100 * clock.Millis(1)
)

// Turn asks each router once in a round, one batch after another with capped exponential backoff. After a round
// the routers know of the idle slots, and nobody is asked until the next round begins. It is used by one
// goroutine at a time.
type Turn struct {
	o Options
	// last names the router that was asked last; the next batch begins behind it.
	last string
	// due is when the next batch may be asked and delay the time before the one after.
	due   clock.Millis
	delay clock.Millis
	// left is how many routers the round has not asked; -1 until the round's first batch.
	left int
}

// New returns a turn that may ask at once.
func New(o Options) *Turn {
	if o.Batch == 0 {
		o.Batch = defaultBatch
	}
	if o.MinDelay == 0 {
		o.MinDelay = defaultMinDelay
	}
	if o.MaxDelay == 0 {
		o.MaxDelay = defaultMaxDelay
	}
	return &Turn{o: o, delay: o.MinDelay, left: -1}
}

// Begin lets a new round begin without delay. It is called while no slot is idle, since routers that hear so
// leave no tickets until they are asked.
func (t *Turn) Begin() {
	t.due = 0
	t.delay = t.o.MinDelay
	t.left = -1
}

// Next returns the routers to ask now, of those that can be asked. They are sorted by name.
func (t *Turn) Next(now clock.Millis, routers []string) []string {
	if now < t.due || len(routers) == 0 || t.left == 0 {
		return nil
	}
	if t.left < 0 {
		t.left = len(routers)
	}
	t.due = now + t.delay
	t.delay = min(t.o.MaxDelay, 2*t.delay)
	first, exact := slices.BinarySearch(routers, t.last)
	if exact {
		first++
	}
	var out []string
	for i := range min(t.o.Batch, t.left, len(routers)) {
		out = append(out, routers[(first+i)%len(routers)])
	}
	t.left -= len(out)
	t.last = out[len(out)-1]
	return out
}
