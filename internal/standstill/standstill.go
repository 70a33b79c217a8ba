// Package standstill detects that a process has stood still: it was stopped, its machine was suspended, or it got no
// processor time. What it received meanwhile is then older than it seems.
package standstill

import "github.com/laburnumring/laburnumring/pkg/clock"

const (
	// minGap is the least time without a beat that counts as a standstill. Beats come every ten milliseconds, and a starved
	// process's some hundred later.
	minGap = 400 * clock.Millis(1)
	// backlogTime is how long after a standstill messages may still come that were received in it.
	backlogTime = 300 * clock.Millis(1)
)

// Detector detects standstills by the time between two beats. The zero value has had none. It is not safe for concurrent
// use.
type Detector struct {
	// beatAt and beatWall are the steady clock and the time of day at the last beat; beatAt is 0 before the first.
	beatAt   clock.Millis
	beatWall clock.Millis
	// endedAt is when a standstill last ended; 0 if there was none.
	endedAt clock.Millis
}

// Beat records that the process runs. now is the steady clock, which may not count the time of a suspension, and wall the
// time of day.
func (d *Detector) Beat(now, wall clock.Millis) {
	if d.gap(now, wall) {
		d.endedAt = now
	}
	d.beatAt, d.beatWall = now, wall
}

// Recent reports whether messages that are handled now may have been received in a standstill.
func (d *Detector) Recent(now, wall clock.Millis) bool {
	return d.gap(now, wall) || d.endedAt > 0 && now-d.endedAt < backlogTime
}

// gap reports whether the process stood still since the last beat.
func (d *Detector) gap(now, wall clock.Millis) bool {
	return d.beatAt > 0 && max(now-d.beatAt, wall-d.beatWall) >= minGap
}
