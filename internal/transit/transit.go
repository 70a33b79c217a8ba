// Package transit estimates how long messages of a peer were delayed, without synchronised clocks.
//
// It compares the differences between the receiver's and the sender's clock. The smallest difference in a window of
// time stands for a message without delay.
package transit

import "github.com/laburnumring/laburnumring/pkg/clock"

// window is the minimum time for which the smallest difference is remembered; the maximum is twice that. The limit
// makes the meter adapt to clocks that stop while their VM is suspended.
const window = 10 * clock.Second

// Meter compares the messages of one sender. The zero value is ready to use. A Meter is not safe for concurrent use.
type Meter struct {
	// minDiff is the smallest difference of the clocks in the window that began at windowStart, prevMinDiff that of
	// the window before.
	minDiff     clock.Millis
	prevMinDiff clock.Millis
	windowStart clock.Millis
	started     bool
}

// ExtraDelay returns how much longer a message took than the fastest one that is remembered. The message was sent at
// sent on the sender's clock and arrives at now on the receiver's.
func (m *Meter) ExtraDelay(now, sent clock.Millis) clock.Millis {
	d := now - sent
	switch {
	case !m.started || now-m.windowStart >= 2*window:
		*m = Meter{minDiff: d, prevMinDiff: d, windowStart: now, started: true}
	case now-m.windowStart >= window:
		m.prevMinDiff, m.minDiff, m.windowStart = m.minDiff, d, now
	}
	m.minDiff = min(m.minDiff, d)
	return d - min(m.minDiff, m.prevMinDiff)
}
