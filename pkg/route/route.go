// Package route describes how requests are assigned to services, and how they may be retried and answered.
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
	// Stream requests are answered as a stream of events. They run at most once unless they are resumable.
	Stream Kind = "stream"
)

// Target is a service that gets a fraction of a route's requests.
type Target struct {
	// Service is the service's name.
	Service string
	// Weight is the target's share of requests relative to the other targets; positive.
	Weight int
}

// Options are the settings of a Route.
type Options struct {
	// Name is unique in a configuration.
	Name string
	// Host and Prefix select requests by the host, without port, and the beginning of the path.
	Host   string
	Prefix string
	// Kind is one of the constants.
	Kind Kind
	// Resumable is set if any server can continue a stream after a given event.
	Resumable bool
	// Public is set if callers do not have to authenticate a team.
	Public bool
	// Attempts is the most attempts of one request, including the first; 1 when zero.
	Attempts int
	// Timeout is the longest time until the end of a request's answer; 0 for none.
	Timeout clock.Millis
	// Goal is the latency goal for an answer, or for a stream's first event.
	Goal clock.Millis
	// PauseGoal is the latency goal for the time between two events of a stream; 0 for none.
	PauseGoal clock.Millis
	// Targets must not be empty.
	Targets []Target
}

// Route is one rule that assigns requests to services.
type Route struct {
	// o does not change after New. Its attempts are positive and its targets not empty.
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

// Host returns the host, without port, of the requests that the route applies to.
func (r Route) Host() string { return r.o.Host }

// Prefix returns the beginning of the paths that the route applies to.
func (r Route) Prefix() string { return r.o.Prefix }

// Stream reports whether requests are answered as a stream of events.
func (r Route) Stream() bool { return r.o.Kind == Stream }

// Resumable reports whether another server may continue a broken stream.
func (r Route) Resumable() bool { return r.o.Kind == Stream && r.o.Resumable }

// MayRepeat reports whether a request may run more than once.
func (r Route) MayRepeat() bool { return r.o.Kind == Repeatable || r.Resumable() }

// Public reports whether callers do not have to authenticate a team.
func (r Route) Public() bool { return r.o.Public }

// Attempts returns the most attempts of one request, including the first.
func (r Route) Attempts() int { return r.o.Attempts }

// Timeout returns the longest time until the end of a request's answer; 0 for none.
func (r Route) Timeout() clock.Millis { return r.o.Timeout }

// Goal returns the latency goal for an answer, or for a stream's first event.
func (r Route) Goal() clock.Millis { return r.o.Goal }

// PauseGoal returns the latency goal for the time between two events of a stream; 0 for none.
func (r Route) PauseGoal() clock.Millis { return r.o.PauseGoal }

// Targets returns the services among which the route's requests are divided. The slice must not be changed.
func (r Route) Targets() []Target { return r.o.Targets }

// Service returns the service for a request. The fraction, at least 0 and below 1, selects a target in proportion to
// the weights.
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
