package dispatch

import (
	"slices"

	"github.com/laburnumring/laburnumring"
	"github.com/laburnumring/laburnumring/internal/suspect"
	"github.com/laburnumring/laburnumring/internal/ticket"
	"github.com/laburnumring/laburnumring/pkg/clock"
)

func (c *Controller) withdrawAll(p *pending, but string) []Action {
	var out []Action
	for _, server := range p.tickets {
		if server != but {
			out = append(out, Withdraw{Server: server, Request: p.r.ID})
		}
	}
	p.tickets = nil
	return out
}

// leaveGroups leaves the missing tickets of several groups, in a fixed order.
func (c *Controller) leaveGroups(now clock.Millis, groups map[group]bool) []Action {
	var out []Action
	for _, g := range sortedGroups(groups) {
		out = append(out, c.leaveWindow(now, g)...)
	}
	return out
}

// leaveWindow leaves tickets for the oldest requests of a group that have none.
func (c *Controller) leaveWindow(now clock.Millis, g group) []Action {
	var out []Action
	q := c.queues[g]
	for _, p := range q[:min(len(q), c.o.TicketWindow)] {
		if len(p.tickets) > 0 || now < p.pausedUntil {
			continue
		}
		p.scheduleRenewal(now)
		for _, server := range c.o.Placement.Choose(c.targets(now, p)) {
			out = append(out, c.leave(now, p, server))
		}
	}
	return out
}

// targets lists the agents that may run p, without outliers; the one that failed it last only when there is no
// other.
func (c *Controller) targets(now clock.Millis, p *pending) []laburnumring.Target {
	out := c.withoutOutliers(now, c.ready(p.r.Service))
	if len(out) > 1 {
		out = slices.DeleteFunc(out, func(t laburnumring.Target) bool { return t.Server == p.avoid })
	}
	return out
}

// ready lists the agents of a service that take work.
func (c *Controller) ready(service string) []laburnumring.Target {
	var out []laburnumring.Target
	for _, peer := range c.o.Board.ReadyPeers(service) {
		out = append(out, laburnumring.Target{
			Server: peer.Server, Place: peer.Place, Slots: peer.Slots, Load: peer.Load,
		})
	}
	return out
}

func (c *Controller) leave(now clock.Millis, p *pending, server string) Action {
	p.tickets = append(p.tickets, server)
	return Leave{Server: server, Ticket: ticket.Ticket{
		Request:     p.r.ID,
		Attempt:     p.attempt + 1,
		Team:        p.r.Team,
		Cost:        p.r.Cost,
		Age:         now - p.arrived,
		Remaining:   p.r.Deadline - now,
		Keyed:       p.r.Keyed,
		Fingerprint: p.r.Fingerprint,
		Suspect:     c.o.Suspects.Kind(now, p.r.Fingerprint) == suspect.Suspected,
	}}
}
