package comfreyadmission

import (
	"math"
	"time"
)

const (
	// rateWindow is the time constant of the smoothed rates.
	rateWindow = 15 * time.Second
	// departureRateSteps is the number of updates of the departure rate in a
	// rateWindow of backlog.
	departureRateSteps = 15
	// waitIterations is how often the estimate of a wait time is repeated with the
	// retries that become due within it.
	waitIterations = 3
	// maxStep is the longest time between two calls, or between two tokens, that
	// is measured. A longer one means that the process was suspended or that the
	// generation was preempted.
	maxStep = time.Second
	// minServiceRate is in tokens a second. It keeps wait times finite until a
	// rate was measured.
	minServiceRate = 100
	// interTokenWeight is the weight of one measurement in the smoothed
	// inter-token latency.
	interTokenWeight = 0.005
)

// rateMeter measures the engine's token rate, the departure rate of the queue
// and the inter-token latency.
type rateMeter struct {
	updatedAt         time.Time     // last update of tokenRate
	tokenRate         float64       // tokens a second
	pendingTokens     int           // generated tokens since the last update of tokenRate
	departureRate     float64       // expected output tokens a second of the requests that leave the queue
	departedTokens    float64       // expected output tokens that left the queue since the last update of departureRate
	backlogTime       time.Duration // time with a non-empty queue since the last update of departureRate
	interTokenSeconds float64       // smoothed time between two tokens of a generation
}

// observeTokens records that a generation produced n tokens, gap after its
// previous progress.
func (m *rateMeter) observeTokens(now time.Time, n int, gap time.Duration) {
	if gap <= maxStep {
		m.observeInterToken(gap.Seconds() / float64(n))
	}
	if m.updatedAt.IsZero() {
		m.updatedAt = now
	}
	m.pendingTokens += n
	t := now.Sub(m.updatedAt)
	if t < rateWindow/150 {
		return
	}
	w := 1 - math.Exp(-t.Seconds()/rateWindow.Seconds())
	m.tokenRate += w * (float64(m.pendingTokens)/t.Seconds() - m.tokenRate)
	m.pendingTokens = 0
	m.updatedAt = now
}

// observeInterToken adds a time between two tokens, in seconds, to the smoothed
// value.
func (m *rateMeter) observeInterToken(s float64) {
	if m.interTokenSeconds == 0 {
		m.interTokenSeconds = s
	}
	m.interTokenSeconds += interTokenWeight * (s - m.interTokenSeconds)
}

// observeBacklog records a time during which the queue was not empty.
func (m *rateMeter) observeBacklog(t time.Duration) {
	t = min(t, maxStep)
	if m.departureRate == 0 {
		m.departureRate = max(m.tokenRate, minServiceRate)
	}
	m.backlogTime += t
	if m.backlogTime < rateWindow/departureRateSteps {
		return
	}
	x := m.backlogTime.Seconds()
	m.departureRate += (1 - math.Exp(-x/rateWindow.Seconds())) * (m.departedTokens/x - m.departureRate)
	m.backlogTime = 0
	m.departedTokens = 0
}

// timeToServe returns how long a queue of n expected output tokens takes to
// empty.
func (m *rateMeter) timeToServe(n float64) time.Duration {
	return time.Duration(n / m.serviceRate() * float64(time.Second))
}

// serviceRate returns the expected output tokens a second that leave the queue,
// at least minServiceRate. Unlike the rate of generated tokens, it drops while a
// few long generations occupy the KV cache.
func (m *rateMeter) serviceRate() float64 {
	return max(m.departureRate, minServiceRate)
}

// interTokenLatency returns the smoothed time between two tokens of a
// generation; zero if it was not measured yet.
func (m *rateMeter) interTokenLatency() time.Duration {
	return time.Duration(m.interTokenSeconds * float64(time.Second))
}

// expectedWait returns the expected wait time of a new request, from the queued
// tokens, the retries that become due meanwhile, and the service rate.
func (c *Controller) expectedWait() time.Duration {
	if len(c.queue) == 0 {
		return 0
	}
	d := c.meter.timeToServe(c.queuedTokens)
	for range waitIterations {
		d = c.meter.timeToServe(c.queuedTokens + c.dueRetryTokens(c.now.Add(d)))
	}
	return d
}
