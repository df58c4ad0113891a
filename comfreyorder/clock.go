package comfreyorder

import "time"

// clock converts readings of the system clock into a time that never goes back.
// Between two readings it advances by the larger of the wall clock's and the
// monotonic clock's progress, because either of them can miss a pause of the
// process that the other counts.
type clock struct {
	lastReading time.Time
	now         time.Time
}

// read returns the time for a reading, without a monotonic part.
func (c *clock) read(reading time.Time) time.Time {
	w := reading.Round(0)
	if c.lastReading.IsZero() {
		c.lastReading, c.now = reading, w
		return w
	}
	m := c.now.Add(max(0, reading.Sub(c.lastReading)))
	c.now = m
	if w.After(m) {
		c.now = w
	}
	c.lastReading = reading
	return c.now
}
