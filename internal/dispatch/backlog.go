package dispatch

import "github.com/laburnumring/laburnumring/pkg/clock"

// Backlog describes the waiting requests of one team for one service.
type Backlog struct {
	Team    string
	Service string
	// Requests is the number of waiting requests; at least 1.
	Requests int
	// OldestWait is how long the oldest of them has waited.
	OldestWait clock.Millis
}

// Backlogs returns the backlogs of all teams and services with waiting requests, sorted by service and team.
func (c *Controller) Backlogs(now clock.Millis) []Backlog {
	waiting := make(map[group]bool, len(c.queues))
	for g := range c.queues {
		waiting[g] = true
	}
	out := make([]Backlog, 0, len(waiting))
	for _, g := range sortedGroups(waiting) {
		q := c.queues[g]
		out = append(out, Backlog{Team: g.team, Service: g.service, Requests: len(q), OldestWait: now - q[0].arrived})
	}
	return out
}
