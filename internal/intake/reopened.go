package intake

import "github.com/laburnumring/laburnumring/pkg/clock"

// PlaceReopened records that the servers of a place may get requests again after an evacuation. They may just have
// become cold.
func (c *Controller) PlaceReopened(_ clock.Millis, _ string) {}
