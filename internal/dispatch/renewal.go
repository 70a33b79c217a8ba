package dispatch

import (
	"slices"

	"github.com/laburnumring/laburnumring"
	"github.com/laburnumring/laburnumring/pkg/clock"
)

// maxTickets is with how many agents a request's tickets are left at most by renewals.
const maxTickets = 4

// renew leaves the tickets of waiting requests again, since an agent may have lost them without a sign.
func (c *Controller) renew(now clock.Millis) []Action {
	groups := make(map[group]bool, len(c.queues))
	for g := range c.queues {
		groups[g] = true
	}
	var out []Action
	for _, g := range sortedGroups(groups) {
		out = append(out, c.leaveWindow(now, g)...)
		q := c.queues[g]
		for _, p := range q[:min(len(q), c.o.TicketWindow)] {
			out = append(out, c.renewTickets(now, p)...)
		}
	}
	return out
}

func (c *Controller) renewTickets(now clock.Millis, p *pending) []Action {
	if now < p.renewAt {
		return nil
	}
	p.scheduleRenewal(now)
	servers := p.tickets
	p.tickets = nil
	var out []Action
	for _, server := range append(servers, c.another(now, p, servers)...) {
		out = append(out, c.leave(now, p, server))
	}
	return out
}

// another chooses one more agent for a request that has waited long, since those that have its ticket may
// serve nobody.
func (c *Controller) another(now clock.Millis, p *pending, servers []string) []string {
	if len(servers) >= maxTickets {
		return nil
	}
	rest := slices.DeleteFunc(c.targets(now, p), func(t laburnumring.Target) bool {
		return slices.Contains(servers, t.Server)
	})
	if len(rest) == 0 {
		return nil
	}
	chosen := c.o.Placement.Choose(rest)
	return chosen[:min(1, len(chosen))]
}

// scheduleRenewal sets when the tickets that are left now are left again.
func (p *pending) scheduleRenewal(now clock.Millis) {
	p.renewal = min(maxRenewal, max(minRenewal, 2*p.renewal))
	p.renewAt = now + p.renewal
}

// maxDoublings bounds the growth of a pause before it is capped.
const maxDoublings = 16

// pause keeps the request without tickets for a time that grows with its refusals.
func (p *pending) pause(now clock.Millis) {
	if p.refusals > 0 {
		p.pausedUntil = now + min(maxPause, minPause<<min(p.refusals-1, maxDoublings))
	}
	p.refusals++
}
