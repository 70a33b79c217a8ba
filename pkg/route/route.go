// Package route describes how requests find their service and what may be done with them.
package route

import "github.com/laburnumring/laburnumring/pkg/clock"

// Kind says how often a request may run and how it is answered.
type Kind string

// The kinds of route.
const (
	// Repeatable requests may run more than once.
	Repeatable Kind = "repeatable"
	// Once requests run at most once.
	Once Kind = "once"
	// Stream requests are answered event by event and run at most once, unless they may be resumed.
	Stream Kind = "stream"
)

// Target is a service that takes a part of a route's requests.
type Target struct {
	// Service is the service's name.
	Service string
	// Weight is the target's part relative to the others; positive.
	Weight int
}

// Options are the settings of a Route.
type Options struct {
	// Name is unique in a configuration.
	Name string
	// Host and Prefix select requests: the host without port and the beginning of the path.
	Host   string
	Prefix string
	// Kind is one of the constants.
	Kind Kind
	// Resumable says that any server goes on with a stream after a given event.
	Resumable bool
	// Public says that no team need be proved.
	Public bool
	// Attempts is the most servers that one request may be sent to; 1 when zero.
	Attempts int
	// Timeout is the longest time until a request's final answer.
	Timeout clock.Millis
	// Goal is the time by which an answer, or a stream's first event, is on time.
	Goal clock.Millis
	// PauseGoal is the longest pause between a stream's events that is on time; 0 for none.
	PauseGoal clock.Millis
	// Targets are not empty.
	Targets []Target
}

// Route is one rule by which requests find their service.
type Route struct {
	// o is not changed after New; its attempts are positive and its targets not empty.
	o Options
}

// New returns a route.
func New(o Options) Route {
	o.Attempts = max(1, o.Attempts)
	o.Targets = append([]Target(nil), o.Targets...)
	return Route{o: o}
}

// Name returns the route's unique name.
func (r Route) Name() string { return r.o.Name }

// Host returns the host whose requests the route takes.
func (r Route) Host() string { return r.o.Host }

// Prefix returns the beginning of the paths that the route takes.
func (r Route) Prefix() string { return r.o.Prefix }

// Stream reports whether requests are answered event by event.
func (r Route) Stream() bool { return r.o.Kind == Stream }

// Resumable reports whether a broken stream may go on at another server.
func (r Route) Resumable() bool { return r.o.Kind == Stream && r.o.Resumable }

// MayRepeat reports whether a request may run more than once.
func (r Route) MayRepeat() bool { return r.o.Kind == Repeatable || r.Resumable() }

// Public reports whether no team need be proved.
func (r Route) Public() bool { return r.o.Public }

// Attempts returns the most servers that one request may be sent to.
func (r Route) Attempts() int { return r.o.Attempts }

// Timeout returns the longest time until a request's final answer; 0 for none.
func (r Route) Timeout() clock.Millis { return r.o.Timeout }

// Goal returns the time by which an answer, or a stream's first event, is on time.
func (r Route) Goal() clock.Millis { return r.o.Goal }

// PauseGoal returns the longest pause between events that is on time; 0 for none.
func (r Route) PauseGoal() clock.Millis { return r.o.PauseGoal }

// Service returns the service for a request; fraction is from 0 to below 1 and spreads requests by weight.
func (r Route) Service(fraction float64) string {
	total := 0
	for _, t := range r.o.Targets {
		total += t.Weight
	}
	left := int(fraction * float64(total))
	for _, t := range r.o.Targets {
		if left < t.Weight {
			return t.Service
		}
		left -= t.Weight
	}
	return r.o.Targets[len(r.o.Targets)-1].Service
}
