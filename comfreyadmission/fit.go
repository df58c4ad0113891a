package comfreyadmission

// fits reports whether the policy admits e now. An idle engine takes any
// request.
func (c *Controller) fits(e *entry) bool {
	if len(c.running) == 0 {
		return true
	}
	n := c.config.CapacityTokens
	switch c.config.Policy {
	case PolicyReservation:
		return c.reserved+e.reserved(c.config.DefaultMaxTokens) <= n
	case PolicyEngineQueue:
		return true
	case PolicyPredictedPeak:
		return c.peakWith(e) <= float64(n)
	default:
		return float64(c.used+e.tokens()) <= c.config.Watermark*float64(n)
	}
}

// peak returns the predicted peak of the memory.
func (c *Controller) peak() int {
	switch c.config.Policy {
	case PolicyReservation:
		return c.reserved
	case PolicyPredictedPeak:
		return int(c.peakWith(nil))
	default:
		return c.used
	}
}
