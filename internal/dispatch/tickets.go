package dispatch

import (
	"slices"

	"github.com/laburnumring/laburnumring"
	"github.com/laburnumring/laburnumring/internal/suspect"
	"github.com/laburnumring/laburnumring/internal/ticket"
	"github.com/laburnumring/laburnumring/pkg/clock"
)

// withdrawTickets withdraws all tickets of a request except that of one server.
func (c *Controller) withdrawTickets(p *pending, except string) []Action {
	var out []Action
	for _, server := range p.ticketServers {
		if server != except {
			out = append(out, WithdrawTicket{Server: server, Request: p.req.ID})
		}
	}
	p.ticketServers = nil
	return out
}

// sendGroupsTickets sends the missing tickets of several groups, in sorted order.
func (c *Controller) sendGroupsTickets(now clock.Millis, groups map[group]bool) []Action {
	var out []Action
	for _, g := range sortedGroups(groups) {
		out = append(out, c.sendMissingTickets(now, g)...)
	}
	return out
}

// sendMissingTickets sends tickets for those requests in a group's ticket window that have none.
func (c *Controller) sendMissingTickets(now clock.Millis, g group) []Action {
	var out []Action
	q := c.queues[g]
	for _, p := range q[:min(len(q), c.opts.TicketWindow)] {
		if len(p.ticketServers) > 0 || now < p.pausedUntil {
			continue
		}
		p.scheduleRenewal(now)
		for _, server := range c.opts.Placement.Choose(c.targets(now, p)) {
			out = append(out, c.sendTicket(now, p, server))
		}
	}
	return out
}

// targets returns the agents that may run p, without outliers. The server of the last failed attempt is included only
// if there is no other.
func (c *Controller) targets(now clock.Millis, p *pending) []laburnumring.Target {
	out := c.withoutOutliers(now, c.ready(p.req.Service))
	if len(out) > 1 {
		out = slices.DeleteFunc(out, func(t laburnumring.Target) bool { return t.Server == p.lastFailedServer })
	}
	return out
}

// ready returns the agents of a service that are ready.
func (c *Controller) ready(service string) []laburnumring.Target {
	var out []laburnumring.Target
	for _, peer := range c.opts.Board.ReadyPeers(service) {
		out = append(out, laburnumring.Target{
			Server: peer.Server, Place: peer.Place, Slots: peer.Slots, Load: peer.Load,
		})
	}
	return out
}

// sendTicket records a ticket of p at a server and returns the action that sends it.
func (c *Controller) sendTicket(now clock.Millis, p *pending, server string) Action {
	p.ticketServers = append(p.ticketServers, server)
	return SendTicket{Server: server, Ticket: ticket.Ticket{
		Request:     p.req.ID,
		Attempt:     p.attempt + 1,
		Team:        p.req.Team,
		Cost:        p.req.Cost,
		Age:         now - p.arrived,
		Remaining:   p.req.Deadline - now,
		Keyed:       p.req.Keyed,
		Fingerprint: p.req.Fingerprint,
		Suspect:     c.opts.Suspects.Kind(now, p.req.Fingerprint) == suspect.Suspected,
	}}
}
