package dispatch

import (
	"cmp"
	"maps"
	"slices"
	"strings"

	"github.com/laburnumring/laburnumring/pkg/clock"
)

// insertByArrival inserts p into q, which is sorted by arrival, oldest first.
func insertByArrival(q []*pending, p *pending) []*pending {
	i := len(q)
	for i > 0 && q[i-1].arrived > p.arrived {
		i--
	}
	return slices.Insert(q, i, p)
}

// waitingInTurn returns the waiting requests of a service that are within the ticket window: first the oldest of each
// group, then the second oldest of each, and so on.
func (c *Controller) waitingInTurn(service string) []*pending {
	var queues [][]*pending
	for _, g := range c.groupsOf(service) {
		queues = append(queues, c.queues[g])
	}
	var out []*pending
	for i := 0; ; i++ {
		n := len(out)
		for _, q := range queues {
			if i < min(len(q), c.opts.TicketWindow) {
				out = append(out, q[i])
			}
		}
		if len(out) == n {
			return out
		}
	}
}

// groupsOf returns the groups of a service with waiting requests, sorted.
func (c *Controller) groupsOf(service string) []group {
	groups := make(map[group]bool)
	for g := range c.queues {
		if g.service == service {
			groups[g] = true
		}
	}
	return sortedGroups(groups)
}

// sortedGroups returns the groups sorted by service and team.
func sortedGroups(groups map[group]bool) []group {
	return slices.SortedFunc(maps.Keys(groups), func(a, b group) int {
		return cmp.Or(strings.Compare(a.service, b.service), strings.Compare(a.team, b.team))
	})
}

// pastDeadline returns the sorted ids of the requests whose deadline has passed.
func (c *Controller) pastDeadline(now clock.Millis) []string {
	var out []string
	for id, p := range c.requests {
		if now >= p.req.Deadline {
			out = append(out, id)
		}
	}
	slices.Sort(out)
	return out
}

// OldestWait returns how long the oldest waiting request of a service has waited; 0 if none waits.
func (c *Controller) OldestWait(now clock.Millis, service string) clock.Millis {
	oldest := clock.Millis(0)
	for g, q := range c.queues {
		if g.service == service {
			oldest = max(oldest, now-q[0].arrived)
		}
	}
	return oldest
}
