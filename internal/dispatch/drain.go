package dispatch

import "github.com/laburnumring/laburnumring/pkg/clock"

// departureWindow is the length of the windows in which departures are counted.
const departureWindow = 2 * clock.Second

// departureRate measures how fast a group's requests leave the queue for an agent.
type departureRate struct {
	// windowStart is the start of the current window, and count the departures in it.
	windowStart clock.Millis
	count       int
	// previous is the number of departures in the preceding window of length departureWindow; 0 if there is none.
	previous int
}

// add counts one departure.
func (d *departureRate) add(now clock.Millis) {
	d.rotate(now)
	d.count++
}

// rotate starts a new window when the current one is over.
func (d *departureRate) rotate(now clock.Millis) {
	switch passed := now - d.windowStart; {
	case passed >= 2*departureWindow:
		*d = departureRate{windowStart: now}
	case passed >= departureWindow:
		*d = departureRate{windowStart: d.windowStart + departureWindow, previous: d.count}
	}
}

// estimate returns how long n requests take to depart at the measured rate, and false if the last two windows have no
// departures.
func (d *departureRate) estimate(now clock.Millis, n int) (clock.Millis, bool) {
	d.rotate(now)
	departed := clock.Millis(d.previous + d.count)
	if departed == 0 {
		return 0, false
	}
	passed := now - d.windowStart
	if d.previous > 0 {
		passed += departureWindow
	}
	return max(1, passed) * clock.Millis(n) / departed, true
}

// retryAfter estimates how long the group's queue takes to empty. While no request departs, the estimate is one
// second more than the oldest request has waited.
func (c *Controller) retryAfter(now clock.Millis, g group) clock.Millis {
	q := c.queues[g]
	if len(q) == 0 {
		return minRetryAfter
	}
	after := now - q[0].arrived + clock.Second
	if d, ok := c.departures[g]; ok {
		if v, ok := d.estimate(now, len(q)); ok {
			after = v
		}
	}
	return max(minRetryAfter, min(maxRetryAfter, after))
}

func (c *Controller) departureRate(g group) *departureRate {
	d, ok := c.departures[g]
	if !ok {
		d = &departureRate{}
		c.departures[g] = d
	}
	return d
}
