package share

import (
	"cmp"
	"slices"
	"strings"

	"github.com/laburnumring/laburnumring/pkg/clock"
	"github.com/laburnumring/laburnumring/pkg/site"
)

// FanOut is the most children that an agent has while all agents answer.
const FanOut = 8

// Delays before an agent that did not answer is tried again.
const (
	minParentDelay = 200 * clock.Millis(1)
	maxParentDelay = 5 * clock.Second
)

// Ranks returns the names of a service's servers in the order of the tree: by region, place and name. The
// order of two servers does not depend on the others, so processes with different configurations agree on it.
func Ranks(s *site.Site, service string) []string {
	type rank struct{ region, place, name string }
	var ranks []rank
	for _, v := range s.ServersOf(service) {
		p, _ := s.Place(v.Place())
		ranks = append(ranks, rank{p.Region(), v.Place(), v.Name()})
	}
	slices.SortFunc(ranks, func(a, b rank) int {
		return cmp.Or(strings.Compare(a.region, b.region), strings.Compare(a.place, b.place),
			strings.Compare(a.name, b.name))
	})
	out := make([]string, 0, len(ranks))
	for _, r := range ranks {
		out = append(out, r.name)
	}
	return out
}

// ParentsOf returns the servers that may be self's parent, the preferred one first: its ancestors in the
// tree, then all others before it. Every edge leads to an earlier rank, so there are no loops.
func ParentsOf(ranks []string, self string) []string {
	i := slices.Index(ranks, self)
	var out []string
	for p := i; p > 0; {
		p = (p - 1) / FanOut
		out = append(out, ranks[p])
	}
	for _, name := range ranks[:max(0, i)] {
		if !slices.Contains(out, name) {
			out = append(out, name)
		}
	}
	return out
}

// Parents remembers which possible parents did not answer. It is used by one goroutine at a time.
type Parents struct {
	// failed holds the agents that did not answer last time.
	failed map[string]failure
}

type failure struct {
	// until is when the agent is tried again and delay how long it was left alone.
	until clock.Millis
	delay clock.Millis
}

// NewParents returns a memory without failures.
func NewParents() *Parents {
	return &Parents{failed: make(map[string]failure)}
}

// Due returns those of the possible parents that may be tried now, in their order.
func (p *Parents) Due(now clock.Millis, possible []string) []string {
	return slices.DeleteFunc(slices.Clone(possible), func(name string) bool {
		return now < p.failed[name].until
	})
}

// Answered forgets an agent's failures.
func (p *Parents) Answered(name string) { delete(p.failed, name) }

// Failed puts off the next try of an agent with capped exponential backoff.
func (p *Parents) Failed(now clock.Millis, name string) {
	delay := max(minParentDelay, min(maxParentDelay, 2*p.failed[name].delay))
	p.failed[name] = failure{until: now + delay, delay: delay}
}
