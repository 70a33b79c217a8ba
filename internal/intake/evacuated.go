package intake

// reasonEvacuated is the reason of refusals if no server of a service is left while places are evacuated.
const reasonEvacuated = "place_evacuated"

// SetEvacuating sets whether servers are missing from the list because their places are evacuated.
func (c *Controller) SetEvacuating(evacuating bool) { c.evacuating = evacuating }

// emptyReason returns the reason for the refusal of a request to a service without servers.
func (c *Controller) emptyReason() string {
	if c.evacuating {
		return reasonEvacuated
	}
	return reasonNoServer
}
