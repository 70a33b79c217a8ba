package dispatch

import (
	"slices"

	"github.com/laburnumring/laburnumring"
	"github.com/laburnumring/laburnumring/pkg/clock"
)

// maxTickets is the number of agents up to which renewals add tickets of one request.
const maxTickets = 4

// renewAll sends the tickets of waiting requests again, since an agent may lose tickets without notice.
func (c *Controller) renewAll(now clock.Millis) []Action {
	groups := make(map[group]bool, len(c.queues))
	for g := range c.queues {
		groups[g] = true
	}
	var out []Action
	for _, g := range sortedGroups(groups) {
		out = append(out, c.sendMissingTickets(now, g)...)
		q := c.queues[g]
		for _, p := range q[:min(len(q), c.opts.TicketWindow)] {
			out = append(out, c.renewTickets(now, p)...)
		}
	}
	return out
}

// renewTickets sends a request's tickets again if they are due, and one more to an additional agent.
func (c *Controller) renewTickets(now clock.Millis, p *pending) []Action {
	if now < p.renewAt {
		return nil
	}
	p.scheduleRenewal(now)
	servers := p.ticketServers
	p.ticketServers = nil
	var out []Action
	for _, server := range append(servers, c.additionalServer(now, p, servers)...) {
		out = append(out, c.sendTicket(now, p, server))
	}
	return out
}

// additionalServer chooses one more server for a request that has waited long, since those that hold its tickets may
// be unable to serve it.
func (c *Controller) additionalServer(now clock.Millis, p *pending, servers []string) []string {
	if len(servers) >= maxTickets {
		return nil
	}
	rest := slices.DeleteFunc(c.targets(now, p), func(t laburnumring.Target) bool {
		return slices.Contains(servers, t.Server)
	})
	if len(rest) == 0 {
		return nil
	}
	chosen := c.opts.Placement.Choose(rest)
	return chosen[:min(1, len(chosen))]
}

// scheduleRenewal sets when the tickets that are sent now are sent again.
func (p *pending) scheduleRenewal(now clock.Millis) {
	p.renewInterval = min(maxRenewInterval, max(minRenewInterval, 2*p.renewInterval))
	p.renewAt = now + p.renewInterval
}

// maxDoublings limits the exponent of a pause, so that the shift does not overflow before the pause is capped.
const maxDoublings = 16

// pause keeps the request without tickets for a time that doubles with each refusal; the first refusal causes no
// pause.
func (p *pending) pause(now clock.Millis) {
	if p.refusals > 0 {
		p.pausedUntil = now + min(maxPause, minPause<<min(p.refusals-1, maxDoublings))
	}
	p.refusals++
}
