package intake

// SetEvacuating sets whether servers are missing from the list because their places are evacuated.
func (c *Controller) SetEvacuating(evacuating bool) { c.evacuating = evacuating }
