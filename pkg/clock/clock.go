// Package clock gives the one notion of time that the controllers use.
package clock

import "time"

// Millis is an instant or a span in whole milliseconds. An instant counts from the Unix epoch.
type Millis int64

// Second and Minute are spans.
const (
	Second Millis = 1000
	Minute        = 60 * Second
)

// FromDuration converts d, cutting off below one millisecond.
func FromDuration(d time.Duration) Millis {
	return Millis(d.Milliseconds())
}

// Duration converts m to the standard library's unit.
func (m Millis) Duration() time.Duration {
	return time.Duration(m) * time.Millisecond
}

// Seconds rounds m up to whole seconds, as the Retry-After header needs.
func (m Millis) Seconds() int64 {
	return int64((m + Second - 1) / Second)
}

// System returns a clock that starts at the wall time of the call and then follows the monotonic clock,
// so that its readings never go back.
func System() func() Millis {
	start := time.Now()
	base := Millis(start.UnixMilli())
	return func() Millis {
		return base + FromDuration(time.Since(start))
	}
}
