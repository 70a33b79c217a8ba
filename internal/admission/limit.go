package admission

import "github.com/laburnumring/laburnumring/pkg/clock"

// LimitOptions are the settings of a Limit.
type LimitOptions struct {
	// Slots is the highest limit; at least 1.
	Slots int
	// Target is the longest time between two units of one request, in milliseconds; 0 keeps the limit at Slots.
	Target clock.Millis
	// Window is how long units are counted before the limit moves; 250 ms when zero.
	Window clock.Millis
}

const (
	defaultLimitWindow = 250 * clock.Millis(1)
	// raisePercent is the share of the target below which the limit grows.
	raisePercent = 90
	// minWindowUnits is the fewest units from which a window is judged.
	minWindowUnits = 8
)

// progress is how far one request had come when it was last seen.
type progress struct {
	at    clock.Millis
	units int64
}

// Limit finds the most requests that a backend server runs within a target for the time between units. It
// knows only what the agent's own requests show, so load from elsewhere lowers it too. It is used by one
// goroutine at a time.
type Limit struct {
	o LimitOptions
	// current is from 1 to Slots.
	current int
	// running holds the requests in progress, by offer.
	running map[string]progress
	// since is when the window began; spent and units are what running requests took and gave in it.
	since clock.Millis
	spent clock.Millis
	units int64
	// full says that the limit was reached in the window.
	full bool
}

// NewLimit returns a limit that begins at the number of slots.
func NewLimit(o LimitOptions) *Limit {
	if o.Window == 0 {
		o.Window = defaultLimitWindow
	}
	return &Limit{o: o, current: max(1, o.Slots), running: make(map[string]progress)}
}

// Current returns the limit.
func (l *Limit) Current() int { return l.current }

// Progress tells how many units a running request has given so far. The time to its first unit does not count.
func (l *Limit) Progress(now clock.Millis, offer string, units int64) {
	last, ok := l.running[offer]
	l.running[offer] = progress{at: now, units: units}
	if !ok || last.units == 0 {
		return
	}
	l.spent += now - last.at
	l.units += units - last.units
}

// Ended forgets a request.
func (l *Limit) Ended(offer string) { delete(l.running, offer) }

// Adapt moves the limit at the end of a window. inUse is how many slots are held now.
func (l *Limit) Adapt(now clock.Millis, inUse int) {
	l.full = l.full || inUse >= l.current
	if l.o.Target == 0 || now-l.since < l.o.Window {
		return
	}
	if l.units >= minWindowUnits {
		l.move(l.spent / clock.Millis(l.units))
	}
	l.since, l.spent, l.units, l.full = now, 0, 0, false
}

// move lowers the limit in proportion when units came too slowly, and raises it by one when there is room.
func (l *Limit) move(between clock.Millis) {
	if between > l.o.Target {
		l.current = max(1, min(l.current-1, int(clock.Millis(l.current)*l.o.Target/between)))
		return
	}
	if l.full && between*100 <= l.o.Target*raisePercent {
		l.current = min(l.o.Slots, l.current+1)
	}
}
