package admission

import "github.com/laburnumring/laburnumring/internal/ticket"

// expectedCost returns the expected cost of a request in service units.
func (c *Controller) expectedCost(t ticket.Ticket) int64 {
	if c.opts.Costs == nil {
		return t.Cost
	}
	return c.opts.Costs.Expect(t.Team, t.Cost)
}

// learnCost updates the prediction from the actual cost of a request. A request that received no service says nothing
// about its cost and is ignored.
func (c *Controller) learnCost(t ticket.Ticket, total int64) {
	if c.opts.Costs != nil && total > 0 {
		c.opts.Costs.Learn(t.Team, t.Cost, total)
	}
}

// chargeUpTo charges the team of an offer until the charge is total units, and reduces its expected cost by the same
// units.
func (c *Controller) chargeUpTo(o *offer, total int64) {
	units := total - o.charged
	o.charged = total
	c.opts.Order.Charge(o.ticket.Team, units)
	covered := min(units, o.stillExpected)
	o.stillExpected -= covered
	c.opts.Order.Expect(o.ticket.Team, -covered)
}
