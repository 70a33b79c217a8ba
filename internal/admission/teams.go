package admission

// Teams returns the names of the teams that have tickets, in no particular order.
func (c *Controller) Teams() []string {
	out := make([]string, 0, len(c.queues))
	for name := range c.queues {
		out = append(out, name)
	}
	return out
}
