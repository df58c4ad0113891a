package comfreyadmission

import (
	"math"
	"time"
)

const (
	// drainWindow is the time constant of the smoothed token rate.
	drainWindow = 15 * time.Second
	// minimumRate keeps a wait finite while nothing was measured, in tokens a
	// second.
	minimumRate = 100
	// gapWeight is the weight of one more gap in the smoothed inter-token time.
	gapWeight = 0.005
)

// drain measures how fast the engine works its requests off.
type drain struct {
	last    time.Time
	rate    float64 // tokens a second
	pending int     // tokens since last
	gap     float64 // seconds between two tokens of a generation
}

// tokens counts n generated tokens, the last of them after gap.
func (d *drain) tokens(now time.Time, n int, gap time.Duration) {
	g := gap.Seconds() / float64(n)
	if d.gap == 0 {
		d.gap = g
	}
	d.gap += gapWeight * (g - d.gap)
	if d.last.IsZero() {
		d.last = now
	}
	d.pending += n
	t := now.Sub(d.last)
	if t < drainWindow/150 {
		return
	}
	w := 1 - math.Exp(-t.Seconds()/drainWindow.Seconds())
	d.rate += w * (float64(d.pending)/t.Seconds() - d.rate)
	d.pending = 0
	d.last = now
}

// duration returns how long n expected tokens take to drain.
func (d *drain) duration(n float64) time.Duration {
	return time.Duration(n / d.tokenRate() * float64(time.Second))
}

// tokenRate returns the tokens a second that drain what waits.
func (d *drain) tokenRate() float64 {
	return max(d.rate, minimumRate)
}

// interToken returns the smoothed time between two tokens.
func (d *drain) interToken() time.Duration {
	return time.Duration(d.gap * float64(time.Second))
}

// expectedWait returns how long a new request waits for its start, from the
// queued answers and the measured rate.
func (c *Controller) expectedWait() time.Duration {
	if len(c.queue) == 0 {
		return 0
	}
	d := c.drain.duration(c.queued)
	return d + c.drain.duration(c.due(c.now.Add(d)))
}
