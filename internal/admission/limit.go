package admission

import "github.com/laburnumring/laburnumring/pkg/clock"

// LimitOptions are the settings of a Limit.
type LimitOptions struct {
	// Slots is the highest limit; at least 1.
	Slots int
	// Target is the longest acceptable time between two units of service of a request, in milliseconds; 0 keeps the
	// limit at Slots.
	Target clock.Millis
	// Window is the time between two changes of the limit, over which units are counted; 250 ms when zero.
	Window clock.Millis
}

const (
	defaultLimitWindow = 250 * clock.Millis(1)
	// raiseBelowPercent is the percentage of the target below which the limit may be raised.
	raiseBelowPercent = 90
	// minWindowUnits is the smallest number of units in a window for which the limit is changed.
	minWindowUnits = 8
)

// progress is the time and the units of a request's last report.
type progress struct {
	at    clock.Millis
	units int64
}

// Limit adapts the number of requests in a backend server so that the time between two units of a request stays
// within a target. It measures only the agent's own requests, so load from other sources lowers the limit too. It is
// used by one goroutine at a time.
type Limit struct {
	opts LimitOptions
	// current is from 1 to Slots.
	current int
	// running holds the last progress of each request, by offer id.
	running map[string]progress
	// windowStart is the start of the current window. In it, running requests produced units, and elapsed is the sum
	// of the time that each of them took for its units.
	windowStart clock.Millis
	elapsed     clock.Millis
	units       int64
	// reached is set once as many slots were held in the window as the limit allows.
	reached bool
}

// NewLimit returns a limit that starts at the number of slots.
func NewLimit(o LimitOptions) *Limit {
	if o.Window == 0 {
		o.Window = defaultLimitWindow
	}
	return &Limit{opts: o, current: max(1, o.Slots), running: make(map[string]progress)}
}

// Current returns the current limit.
func (l *Limit) Current() int { return l.current }

// Progress records how many units a running request has received in total. The time until its first unit is not
// counted.
func (l *Limit) Progress(now clock.Millis, offer string, units int64) {
	last, ok := l.running[offer]
	l.running[offer] = progress{at: now, units: units}
	if !ok || last.units == 0 {
		return
	}
	l.elapsed += now - last.at
	l.units += units - last.units
}

// Ended removes a request.
func (l *Limit) Ended(offer string) { delete(l.running, offer) }

// Adapt changes the limit at the end of a window. inUse is the number of slots held now.
func (l *Limit) Adapt(now clock.Millis, inUse int) {
	l.reached = l.reached || inUse >= l.current
	if l.opts.Target == 0 || now-l.windowStart < l.opts.Window {
		return
	}
	if l.units >= minWindowUnits {
		l.adjust(l.elapsed / clock.Millis(l.units))
	}
	l.windowStart, l.elapsed, l.units, l.reached = now, 0, 0, false
}

// adjust lowers the limit in proportion when the time per unit exceeds the target. It raises the limit by one when
// the time is well within the target and the limit was reached.
func (l *Limit) adjust(timePerUnit clock.Millis) {
	if timePerUnit > l.opts.Target {
		l.current = max(1, min(l.current-1, int(clock.Millis(l.current)*l.opts.Target/timePerUnit)))
		return
	}
	if l.reached && timePerUnit*100 <= l.opts.Target*raiseBelowPercent {
		l.current = min(l.opts.Slots, l.current+1)
	}
}
