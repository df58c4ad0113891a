package comfreyadmission

// fits reports whether the policy admits e now. An idle engine admits any
// request.
func (c *Controller) fits(e *entry) bool {
	if len(c.running) == 0 {
		return true
	}
	n := c.config.CapacityTokens
	switch c.config.Policy {
	case PolicyReservation:
		return c.reservedTokens+e.reservedTokens(c.config.DefaultMaxTokens) <= n
	case PolicyEngineQueue:
		return true
	case PolicyPredictedPeak:
		return c.peakTokensWith(e) <= float64(n)
	default:
		return float64(c.usedTokens+e.usedTokens()) <= c.config.Watermark*float64(n)
	}
}

// peakTokens returns the predicted peak of the KV cache usage.
func (c *Controller) peakTokens() int {
	switch c.config.Policy {
	case PolicyReservation:
		return c.reservedTokens
	case PolicyPredictedPeak:
		return int(c.peakTokensWith(nil))
	default:
		return c.usedTokens
	}
}
