package comfreyorder

import "time"

// clock turns readings of the system clock into a time that never goes back
// and that advances by the larger of what the wall clock and the monotonic
// clock have advanced, as each of them can miss a pause that the other counts.
type clock struct {
	reading time.Time
	now     time.Time
}

// read returns the time, without a monotonic part, for a reading.
func (c *clock) read(reading time.Time) time.Time {
	w := reading.Round(0)
	if c.reading.IsZero() {
		c.reading, c.now = reading, w
		return w
	}
	m := c.now.Add(max(0, reading.Sub(c.reading)))
	c.now = m
	if w.After(m) {
		c.now = w
	}
	c.reading = reading
	return c.now
}
