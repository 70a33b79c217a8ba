package admission

// HoldKeyed tells whether tickets of keyed requests are passed over. Those behind them in a team's queue are
// not held up.
func (c *Controller) HoldKeyed(held bool) { c.keyedHeld = held }

// first returns the oldest ticket of a team's queue that may be offered now, or nil.
func (c *Controller) first(q []*waiting) *waiting {
	for _, w := range q {
		if !w.t.Keyed || !c.keyedHeld {
			return w
		}
	}
	return nil
}
