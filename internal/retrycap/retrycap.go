// Package retrycap limits the repeated attempts of requests, those after the first, over a sliding window.
package retrycap

import (
	"slices"

	"github.com/laburnumring/laburnumring/pkg/clock"
)

// Options configures a Cap.
type Options struct {
	// Window is the length of the sliding window.
	Window clock.Millis
	// Ratio is the number of repeated attempts that are allowed per request of the window.
	Ratio float64
	// Burst is the number of repeated attempts that each window allows in addition, for all routers together.
	Burst float64
}

// Cap counts the requests and repeated attempts of one service at one router. It is not safe for concurrent use. A new
// Cap has counted no requests, and so allows only its share of the burst.
type Cap struct {
	o Options
	// requests and repeats hold the times of the window's requests and repeated attempts, oldest first.
	requests []clock.Millis
	repeats  []clock.Millis
}

// New returns a cap that has counted nothing.
func New(o Options) *Cap { return &Cap{o: o} }

// CountRequest counts the first attempt of a request.
func (c *Cap) CountRequest(now clock.Millis) {
	c.requests = append(trim(c.requests, now-c.o.Window), now)
}

// AllowRepeat reports whether a repeated attempt is allowed, and counts it if so. share is this router's fraction of
// the burst.
func (c *Cap) AllowRepeat(now clock.Millis, share float64) bool {
	c.requests = trim(c.requests, now-c.o.Window)
	c.repeats = trim(c.repeats, now-c.o.Window)
	if float64(len(c.repeats)+1) > c.o.Ratio*float64(len(c.requests))+share*c.o.Burst {
		return false
	}
	c.repeats = append(c.repeats, now)
	return true
}

// trim removes the times up to and including limit.
func trim(times []clock.Millis, limit clock.Millis) []clock.Millis {
	i, _ := slices.BinarySearch(times, limit+1)
	return slices.Delete(times, 0, i)
}
