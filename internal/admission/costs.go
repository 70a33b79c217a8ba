package admission

import "github.com/laburnumring/laburnumring/internal/ticket"

// expect returns what a request is expected to cost when it is offered.
func (c *Controller) expect(t ticket.Ticket) int64 {
	if c.o.Costs == nil {
		return t.Cost
	}
	return c.o.Costs.Expect(t.Team, t.Cost)
}

// learn takes what a request cost. One that gave nothing shows nothing of its cost.
func (c *Controller) learn(t ticket.Ticket, total int64) {
	if c.o.Costs != nil && total > 0 {
		c.o.Costs.Learn(t.Team, t.Cost, total)
	}
}

// settle charges an offer's team up to total units, which are no longer expected.
func (c *Controller) settle(o *offer, total int64) {
	units := total - o.charged
	o.charged = total
	c.o.Order.Charge(o.t.Team, units)
	arrived := min(units, o.expected)
	o.expected -= arrived
	c.o.Order.Expect(o.t.Team, -arrived)
}
