package comfreyadmission

import (
	"math"
	"time"
)

const (
	// drainWindow is the time constant of the smoothed token rate.
	drainWindow = 5 * time.Second
	// minimumRate keeps a wait finite while nothing was measured, in tokens a
	// second.
	minimumRate = 100
	// lengthWeight is the weight of one more answer in the smoothed length.
	lengthWeight = 0.05
)

// drain measures how fast the engine works its requests off.
type drain struct {
	last    time.Time
	rate    float64 // tokens a second
	pending int     // tokens since last
	length  float64 // smoothed length of answers
	gap     time.Duration
}

// tokens counts n generated tokens.
func (d *drain) tokens(now time.Time, n int) {
	if d.last.IsZero() {
		d.last = now
	}
	d.pending += n
	t := now.Sub(d.last)
	if t < drainWindow/50 {
		return
	}
	w := 1 - math.Exp(-t.Seconds()/drainWindow.Seconds())
	d.rate += w * (float64(d.pending)/t.Seconds() - d.rate)
	d.pending = 0
	d.last = now
}

// finished counts a complete answer of n tokens.
func (d *drain) finished(n int) {
	if d.length == 0 {
		d.length = float64(n)
	}
	d.length += lengthWeight * (float64(n) - d.length)
}

// interToken returns the smoothed time between two tokens.
func (d *drain) interToken() time.Duration {
	return d.gap
}

// expectedWait returns how long a new request waits for its start, from the
// answers queued before it and the measured rate.
func (c *Controller) expectedWait() time.Duration {
	if len(c.queue) == 0 {
		return 0
	}
	n := float64(len(c.queue)) * max(c.drain.length, 1)
	return time.Duration(n / max(c.drain.rate, minimumRate) * float64(time.Second))
}
