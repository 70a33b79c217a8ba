package dispatch

import (
	"cmp"
	"maps"
	"slices"
	"strings"

	"github.com/laburnumring/laburnumring/pkg/clock"
)

// insertByArrival keeps q sorted by arrival, oldest first.
func insertByArrival(q []*pending, p *pending) []*pending {
	i := len(q)
	for i > 0 && q[i-1].arrived > p.arrived {
		i--
	}
	return slices.Insert(q, i, p)
}

// oldest returns the waiting requests of a service, each group's first before any group's second.
func (c *Controller) oldest(service string) []*pending {
	var queues [][]*pending
	for _, g := range c.groupsOf(service) {
		queues = append(queues, c.queues[g])
	}
	var out []*pending
	for i := 0; ; i++ {
		n := len(out)
		for _, q := range queues {
			if i < min(len(q), c.o.TicketWindow) {
				out = append(out, q[i])
			}
		}
		if len(out) == n {
			return out
		}
	}
}

func (c *Controller) groupsOf(service string) []group {
	groups := make(map[group]bool)
	for g := range c.queues {
		if g.service == service {
			groups[g] = true
		}
	}
	return sortedGroups(groups)
}

func sortedGroups(groups map[group]bool) []group {
	return slices.SortedFunc(maps.Keys(groups), func(a, b group) int {
		return cmp.Or(strings.Compare(a.service, b.service), strings.Compare(a.team, b.team))
	})
}

// overdue returns the ids of the requests whose deadline has passed, in a fixed order.
func (c *Controller) overdue(now clock.Millis) []string {
	var out []string
	for id, p := range c.requests {
		if now >= p.r.Deadline {
			out = append(out, id)
		}
	}
	slices.Sort(out)
	return out
}

// OldestWait returns how long the oldest waiting request of a service has waited; 0 when none waits.
func (c *Controller) OldestWait(now clock.Millis, service string) clock.Millis {
	oldest := clock.Millis(0)
	for g, q := range c.queues {
		if g.service == service {
			oldest = max(oldest, now-q[0].arrived)
		}
	}
	return oldest
}
