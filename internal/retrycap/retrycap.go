// Package retrycap bounds the sends beyond the first of each request over a sliding window.
package retrycap

import (
	"slices"

	"github.com/laburnumring/laburnumring/pkg/clock"
)

// Options are the settings of a Cap.
type Options struct {
	// Window is the span over which sends are bounded.
	Window clock.Millis
	// Ratio is the part of the window's requests that may be sent once more.
	Ratio float64
	// Burst is how many more sends each window allows all routers together.
	Burst float64
}

// Cap counts one service's requests and repeated sends at one router. It is used by one goroutine at a time. A
// process that starts has counted nothing, and so allows its burst alone.
type Cap struct {
	o Options
	// requests and repeats hold the times of the window's requests and repeated sends, oldest first.
	requests []clock.Millis
	repeats  []clock.Millis
}

// New returns a cap that has counted nothing.
func New(o Options) *Cap { return &Cap{o: o} }

// Request counts a request's first send.
func (c *Cap) Request(now clock.Millis) {
	c.requests = append(trim(c.requests, now-c.o.Window), now)
}

// Repeat takes one repeated send of a router which has the given part of the burst, and reports whether there was room.
func (c *Cap) Repeat(now clock.Millis, part float64) bool {
	c.requests = trim(c.requests, now-c.o.Window)
	c.repeats = trim(c.repeats, now-c.o.Window)
	if float64(len(c.repeats)+1) > c.o.Ratio*float64(len(c.requests))+part*c.o.Burst {
		return false
	}
	c.repeats = append(c.repeats, now)
	return true
}

// trim drops the times up to and with limit.
func trim(times []clock.Millis, limit clock.Millis) []clock.Millis {
	i, _ := slices.BinarySearch(times, limit+1)
	return slices.Delete(times, 0, i)
}
