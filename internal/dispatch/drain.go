package dispatch

import "github.com/laburnumring/laburnumring/pkg/clock"

// drainWindow is the time over which the rate of a queue's departures is observed.
const drainWindow = 2 * clock.Second

// drain observes how fast requests leave a group's queue for an agent.
type drain struct {
	// since begins the running window, in which count requests left.
	since clock.Millis
	count int
	// previous is how many left in the window before, of length drainWindow; 0 when it was longer ago.
	previous int
}

func (d *drain) left(now clock.Millis) {
	d.rotate(now)
	d.count++
}

func (d *drain) rotate(now clock.Millis) {
	switch passed := now - d.since; {
	case passed >= 2*drainWindow:
		*d = drain{since: now}
	case passed >= drainWindow:
		*d = drain{since: d.since + drainWindow, previous: d.count}
	}
}

// estimate returns how long n requests take to leave at the observed rate, and false when none left lately.
func (d *drain) estimate(now clock.Millis, n int) (clock.Millis, bool) {
	d.rotate(now)
	left := clock.Millis(d.previous + d.count)
	if left == 0 {
		return 0, false
	}
	passed := now - d.since
	if d.previous > 0 {
		passed += drainWindow
	}
	return max(1, passed) * clock.Millis(n) / left, true
}

// retryAfter estimates when the group's queue will have drained, or a second longer than its oldest has
// waited while nothing leaves it.
func (c *Controller) retryAfter(now clock.Millis, g group) clock.Millis {
	q := c.queues[g]
	if len(q) == 0 {
		return minRetryAfter
	}
	after := now - q[0].arrived + clock.Second
	if d, ok := c.drains[g]; ok {
		if v, ok := d.estimate(now, len(q)); ok {
			after = v
		}
	}
	return max(minRetryAfter, min(maxRetryAfter, after))
}

func (c *Controller) drain(g group) *drain {
	d, ok := c.drains[g]
	if !ok {
		d = &drain{}
		c.drains[g] = d
	}
	return d
}
