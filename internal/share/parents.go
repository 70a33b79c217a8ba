package share

import (
	"cmp"
	"slices"
	"strings"

	"github.com/laburnumring/laburnumring/pkg/clock"
	"github.com/laburnumring/laburnumring/pkg/site"
)

// FanOut is the largest number of children of an agent while all agents answer.
const FanOut = 8

// Limits of the delay before an agent that did not answer is tried again.
const (
	minRetryDelay = 200 * clock.Millis(1)
	maxRetryDelay = 5 * clock.Second
)

// RankedServers returns the names of a service's servers sorted by region, place and name, which is their order in the
// tree. The relative order of two servers does not depend on the others, so processes with different configurations
// agree on it.
func RankedServers(s *site.Site, service string) []string {
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

// ParentsOf returns the servers that may be self's parent in the order of preference: first its ancestors in the
// tree, then all other servers ranked before it. A parent always precedes its child in ranks, so there are no
// loops.
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

// ParentBackoff tracks the possible parents that did not answer, and delays the next attempt to reach each of them. It
// is used by one goroutine at a time.
type ParentBackoff struct {
	// failures holds the agents whose last attempt failed, by name.
	failures map[string]failure
}

type failure struct {
	// retryAt is the time of the next attempt, and delay the length of the current pause.
	retryAt clock.Millis
	delay   clock.Millis
}

// NewParentBackoff returns a ParentBackoff without failures.
func NewParentBackoff() *ParentBackoff {
	return &ParentBackoff{failures: make(map[string]failure)}
}

// Due returns those of the possible parents that may be tried now, in the given order.
func (p *ParentBackoff) Due(now clock.Millis, possible []string) []string {
	return slices.DeleteFunc(slices.Clone(possible), func(name string) bool {
		return now < p.failures[name].retryAt
	})
}

// Answered clears an agent's failures.
func (p *ParentBackoff) Answered(name string) { delete(p.failures, name) }

// Failed records that an agent did not answer and delays its next attempt, with capped exponential backoff.
func (p *ParentBackoff) Failed(now clock.Millis, name string) {
	delay := max(minRetryDelay, min(maxRetryDelay, 2*p.failures[name].delay))
	p.failures[name] = failure{retryAt: now + delay, delay: delay}
}
