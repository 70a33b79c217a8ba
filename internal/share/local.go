// Package share decides which team's request an agent runs next, so that teams receive service in proportion to their
// weights.
package share

import (
	"github.com/laburnumring/laburnumring"
	"github.com/laburnumring/laburnumring/pkg/clock"
)

// Local orders teams by the weighted service that this agent alone gave them.
type Local struct {
	// weight returns a team's weight, at least 1.
	weight func(team string) int64
	// served holds the service that each team has received, in weighted service units times scale.
	served map[string]int64
	// expected holds what each team's offered and running requests are still expected to cost, in the same unit.
	expected map[string]int64
	// active holds the teams that were candidates at the last choice.
	active map[string]bool
}

// scale is the fixed-point factor of weighted service, which keeps it an integer.
const scale = 1 << 10

var _ laburnumring.TeamOrder = (*Local)(nil)

// NewLocal returns an order without history. The function weight returns a team's weight, at least 1.
func NewLocal(weight func(team string) int64) *Local {
	return &Local{weight: weight, served: make(map[string]int64), expected: make(map[string]int64), active: make(map[string]bool)}
}

// Next implements laburnumring.TeamOrder. It picks the team with the least weighted service.
func (l *Local) Next(_ clock.Millis, candidates []laburnumring.Candidate) int {
	l.lift(candidates)
	best := 0
	for i, c := range candidates {
		if l.counter(c.Team) < l.counter(candidates[best].Team) {
			best = i
		}
	}
	return best
}

// Expect implements laburnumring.TeamOrder.
func (l *Local) Expect(team string, units int64) {
	l.expected[team] += units * scale / l.weight(team)
}

// counter returns a team's received and expected service.
func (l *Local) counter(team string) int64 { return l.served[team] + l.expected[team] }

// Charge implements laburnumring.TeamOrder.
func (l *Local) Charge(team string, units int64) {
	l.served[team] += units * scale / l.weight(team)
}

// lift raises the counters of teams that return from idle to the lowest counter of the teams that stayed active.
// Without it a returning team would be served alone until it has caught up.
func (l *Local) lift(candidates []laburnumring.Candidate) {
	least, found := int64(0), false
	for _, c := range candidates {
		if v := l.counter(c.Team); l.active[c.Team] && (!found || v < least) {
			least, found = v, true
		}
	}
	active := make(map[string]bool, len(candidates))
	for _, c := range candidates {
		active[c.Team] = true
		if found && !l.active[c.Team] {
			l.served[c.Team] = max(l.served[c.Team], least-l.expected[c.Team])
		}
	}
	l.active = active
}

// capLead lowers the counters of candidates that are more than lead above the lowest one.
func (l *Local) capLead(candidates []laburnumring.Candidate, lead int64) {
	least := l.served[candidates[0].Team]
	for _, c := range candidates {
		least = min(least, l.served[c.Team])
	}
	for _, c := range candidates {
		l.served[c.Team] = min(l.served[c.Team], least+lead)
	}
}
