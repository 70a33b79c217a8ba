// Package transit estimates how long messages of a peer were held up on their way, without synchronised clocks.
package transit

import "github.com/laburnumring/laburnumring/pkg/clock"

// window is how long the shortest way is remembered at least; up to twice that. It follows clocks that stand still
// while their VM is suspended.
const window = 10 * clock.Second

// Meter compares the messages of one sender. Its zero value has seen none. It is used by one goroutine at a time.
type Meter struct {
	// least is the smallest difference of the clocks in the window that began at since, and before that of the one before.
	least  clock.Millis
	before clock.Millis
	since  clock.Millis
	seen   bool
}

// Late returns how much longer than the shortest a message took that was sent by the sender's clock and arrives now by
// the receiver's.
func (m *Meter) Late(now, sent clock.Millis) clock.Millis {
	d := now - sent
	switch {
	case !m.seen || now-m.since >= 2*window:
		*m = Meter{least: d, before: d, since: now, seen: true}
	case now-m.since >= window:
		m.before, m.least, m.since = m.least, d, now
	}
	m.least = min(m.least, d)
	return d - min(m.least, m.before)
}
