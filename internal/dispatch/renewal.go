package dispatch

import "github.com/laburnumring/laburnumring/pkg/clock"

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
	for _, server := range servers {
		out = append(out, c.leave(now, p, server))
	}
	return out
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
