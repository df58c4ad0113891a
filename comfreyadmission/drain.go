package comfreyadmission

import (
	"math"
	"time"
)

const (
	// drainWindow is the time constant of the smoothed token rate.
	drainWindow = 15 * time.Second
	// flowSteps is the number of steps in which the flow out of the queue is
	// smoothed over the window.
	flowSteps = 15
	// waitRounds is how often the estimate of a wait is repeated with the
	// callers that return within it.
	waitRounds = 3
	// longestStep is the longest time between two calls, or between two tokens,
	// that counts as work. A longer one means that the process slept or the
	// generation was pushed aside.
	longestStep = time.Second
	// minimumRate keeps a wait finite while nothing was measured, in tokens a
	// second.
	minimumRate = 100
	// gapWeight is the weight of one more gap in the smoothed inter-token time.
	gapWeight = 0.005
)

// drain measures how fast the engine works its requests off.
type drain struct {
	last     time.Time
	rate     float64       // tokens a second
	pending  int           // tokens since last
	flow     float64       // expected tokens a second that leave the queue
	admitted float64       // expected tokens that left it since
	waited   time.Duration // backlogged time since
	gap      float64       // seconds between two tokens of a generation
}

// tokens counts n generated tokens, the last of them after gap.
func (d *drain) tokens(now time.Time, n int, gap time.Duration) {
	if gap <= longestStep {
		d.observeGap(gap.Seconds() / float64(n))
	}
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

// observeGap smooths the time between two tokens, in seconds.
func (d *drain) observeGap(g float64) {
	if d.gap == 0 {
		d.gap = g
	}
	d.gap += gapWeight * (g - d.gap)
}

// backlogged counts time in which requests waited.
func (d *drain) backlogged(t time.Duration) {
	t = min(t, longestStep)
	if d.flow == 0 {
		d.flow = max(d.rate, minimumRate)
	}
	d.waited += t
	if d.waited < drainWindow/flowSteps {
		return
	}
	x := d.waited.Seconds()
	d.flow += (1 - math.Exp(-x/drainWindow.Seconds())) * (d.admitted/x - d.flow)
	d.waited = 0
	d.admitted = 0
}

// duration returns how long a queue of n expected tokens takes to drain.
func (d *drain) duration(n float64) time.Duration {
	return time.Duration(n / d.queueRate() * float64(time.Second))
}

// queueRate returns the expected tokens a second that leave the queue. Unlike
// the generated tokens, they show when a few long answers hold the memory.
func (d *drain) queueRate() float64 {
	return max(d.flow, minimumRate)
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
	for range waitRounds {
		d = c.drain.duration(c.queued + c.due(c.now.Add(d)))
	}
	return d
}
