package intake

import (
	"slices"

	"github.com/laburnumring/laburnumring/pkg/clock"
)

// backlog sums the requests that wait for one service.
type backlog struct {
	requests int
	// tokens is the prompt tokens of their last parts.
	tokens int64
}

// add adds a request n times; -1 removes it.
func (b *backlog) add(r Request, n int) {
	b.requests += n
	b.tokens += int64(n) * r.ownTokens()
}

func (c *Controller) backlog(service string) *backlog {
	b, ok := c.backlogs[service]
	if !ok {
		b = &backlog{}
		c.backlogs[service] = b
	}
	return b
}

// Limits of the work of Poll. A decision looks at all servers; hundreds of waiting requests that are all decided on at
// each event would take a small router's whole processor time.
const (
	// maxPollDecisions is the number of waiting requests that one poll decides on: the first in order and, for a
	// quarter, the rest in turn.
	maxPollDecisions  = 32
	pollTurnDecisions = maxPollDecisions / 4
	// minPollInterval is the time between two polls while more requests wait.
	minPollInterval = 10 * clock.Millis(1)
)

// Poll returns the decisions on waiting requests that can be made now. If many wait, it decides on a part of them.
func (c *Controller) Poll(now clock.Millis) []Decision {
	n := len(c.waiting)
	if n == 0 || n > maxPollDecisions && now-c.lastPoll < minPollInterval {
		return nil
	}
	c.lastPoll = now
	v := c.view(now)
	v.polling = true
	// Teams with the lowest served rate go first; within a team, the requests that arrived first.
	slices.SortStableFunc(c.waiting, func(a, b Request) int {
		switch x, y := v.teams[a.Team].Served, v.teams[b.Team].Served; {
		case x < y:
			return -1
		case x > y:
			return 1
		}
		return int(a.Arrived - b.Arrived)
	})
	due := c.pollSelection(n)
	var out []Decision
	i := -1
	c.waiting = slices.DeleteFunc(c.waiting, func(r Request) bool {
		i++
		if !due(i) {
			return false
		}
		d, ok := c.decide(now, r, v)
		if ok {
			c.backlog(r.Service).add(r, -1)
			c.handleRefusal(now, r, d)
			out = append(out, d)
		}
		return ok
	})
	return out
}

// pollSelection returns which of n waiting requests, by their position, the next poll decides on.
func (c *Controller) pollSelection(n int) func(i int) bool {
	first := maxPollDecisions - pollTurnDecisions
	if n <= maxPollDecisions {
		return func(int) bool { return true }
	}
	rest := n - first
	start := c.polls * pollTurnDecisions % rest
	c.polls++
	return func(i int) bool { return i < first || (i-first-start+rest)%rest < pollTurnDecisions }
}
