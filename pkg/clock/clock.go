// Package clock defines the unit of time that all packages use for instants and durations.
package clock

import "time"

// Millis is an instant or a duration in whole milliseconds. An instant counts from the Unix epoch.
type Millis int64

// Common durations.
const (
	Second Millis = 1000
	Minute        = 60 * Second
)

// FromDuration converts d to milliseconds, rounded toward zero.
func FromDuration(d time.Duration) Millis {
	return Millis(d.Milliseconds())
}

// Duration converts m to a time.Duration.
func (m Millis) Duration() time.Duration {
	return time.Duration(m) * time.Millisecond
}

// Seconds returns m in whole seconds, rounded up, for the Retry-After header.
func (m Millis) Seconds() int64 {
	return int64((m + Second - 1) / Second)
}

// System returns a clock that starts at the current wall time and then follows the monotonic clock, so that its
// readings never go back.
func System() func() Millis {
	start := time.Now()
	base := Millis(start.UnixMilli())
	return func() Millis {
		return base + FromDuration(time.Since(start))
	}
}
