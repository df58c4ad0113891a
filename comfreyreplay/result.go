package comfreyreplay

import (
	"math"
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// histogramUnit is the resolution of the histograms.
	histogramUnit = 10 * time.Microsecond
	// histogramLimit is the longest time that a histogram holds.
	histogramLimit = 10 * time.Minute
	// warmUp is the share of the trace that goodput leaves out.
	warmUp = 0.2
)

// Histogram counts durations.
type Histogram struct {
	h *hdrhistogram.Histogram
}

// newHistogram returns an empty histogram.
func newHistogram() Histogram {
	return Histogram{h: hdrhistogram.New(1, int64(histogramLimit/histogramUnit), 3)}
}

// add counts d.
func (h Histogram) add(d time.Duration) {
	_ = h.h.RecordValue(int64(min(d, histogramLimit) / histogramUnit))
}

// Quantile returns the duration that a share p of the counts does not exceed;
// p is from 0 to 1.
func (h Histogram) Quantile(p float64) time.Duration {
	return time.Duration(h.h.ValueAtQuantile(p*100)) * histogramUnit
}

// Result holds the figures of one policy on one trace.
type Result struct {
	// Policy is the name of the policy.
	Policy string
	// Requests, Completed, GivenUp and Failed count the callers and how their
	// requests ended.
	Requests, Completed, GivenUp, Failed int
	// Started counts the generations that produced a token, Preemptions the
	// times that a generation was preempted.
	Started, Preemptions int
	// Refusals counts what callers were told, Followed the callers that came
	// back as told, and Kept those of them that were served then.
	Refusals, Followed, Kept int
	// Late counts the refusals after a wait in a queue.
	Late int
	// Stall holds, for each caller, the time with nothing arriving: from its
	// first attempt to the first token and every later pause of at least
	// stallThreshold. A caller that gave up counts with all its patience.
	Stall Histogram
	// FirstToken holds the time from the first attempt to the first token.
	FirstToken Histogram
	// InterToken holds the time between two tokens.
	InterToken Histogram
	// Goodput is the answer tokens a second of complete answers, without the
	// warm-up and what arrives after the end of the trace.
	Goodput float64
	// Fairness is the least share that a customer got of its max-min fair
	// share of the tokens; 1 means that each got all of it.
	Fairness float64
	// Customers are the figures by customer, sorted by name.
	Customers []CustomerResult
}

// CustomerResult holds the figures of one customer.
type CustomerResult struct {
	// Customer is the name.
	Customer string
	// Requests and Completed count its callers.
	Requests, Completed int
	// Asked and Got are the tokens of all its answers and of the complete ones.
	Asked, Got float64
	// Share is Got as a part of the customer's max-min fair share.
	Share float64
	// Stall is as in Result.
	Stall Histogram
}

// PreemptionRate returns the preemptions per 100 generations.
func (r Result) PreemptionRate() float64 {
	return 100 * float64(r.Preemptions) / float64(max(r.Started, 1))
}

// KeptRate returns the share of the callers that came back as told and were
// served; it is 1 if none was told to.
func (r Result) KeptRate() float64 {
	if r.Followed == 0 {
		return 1
	}
	return float64(r.Kept) / float64(r.Followed)
}

// collector gathers a result.
type collector struct {
	result    Result
	window    time.Duration // length of the trace
	tokens    map[*call]float64
	customers map[string]*CustomerResult
}

// newCollector returns an empty collector for a trace of length d.
func newCollector(policy string, d time.Duration) *collector {
	return &collector{
		result:    Result{Policy: policy, Stall: newHistogram(), FirstToken: newHistogram(), InterToken: newHistogram()},
		window:    d,
		tokens:    map[*call]float64{},
		customers: map[string]*CustomerResult{},
	}
}

// customer returns the figures of a customer.
func (c *collector) customer(name string) *CustomerResult {
	r, ok := c.customers[name]
	if !ok {
		r = &CustomerResult{Customer: name, Stall: newHistogram()}
		c.customers[name] = r
	}
	return r
}

// arrived counts a caller.
func (c *collector) arrived(l *call) {
	c.result.Requests++
	r := c.customer(l.record.Customer)
	r.Requests++
	r.Asked += float64(l.record.AnswerTokens)
}

// token counts a token that reached its caller at t.
func (c *collector) token(l *call, t, gap time.Duration) {
	if l.tokens == 1 {
		c.result.Started++
		c.result.FirstToken.add(t - l.record.At)
	} else {
		c.result.InterToken.add(gap)
	}
	if t >= seconds(warmUp*c.window.Seconds()) && t < c.window {
		c.tokens[l]++
	}
}

// ended counts the end of a call.
func (c *collector) ended(l *call, e ending) {
	l.ending = e
	r := c.customer(l.record.Customer)
	switch e {
	case endingCompleted:
		c.result.Completed++
		c.result.Goodput += c.tokens[l]
		r.Completed++
		r.Got += float64(l.tokens)
	case endingGivenUp:
		c.result.GivenUp++
		l.stall = l.record.Patience
	default:
		c.result.Failed++
	}
	delete(c.tokens, l)
	c.result.Stall.add(l.stall)
	r.Stall.add(l.stall)
}

// finish returns the result.
func (c *collector) finish() Result {
	r := c.result
	r.Goodput /= c.window.Seconds() * (1 - warmUp)
	for _, u := range c.customers {
		r.Customers = append(r.Customers, *u)
	}
	slices.SortFunc(r.Customers, func(a, b CustomerResult) int {
		if a.Customer < b.Customer {
			return -1
		}
		return 1
	})
	r.Fairness = shares(r.Customers)
	return r
}

// shares sets the Share of each customer and returns the least one. The fair
// share is what water-filling gives: nobody gets more than it asks for, and
// what is left is split evenly among those that ask for more.
func shares(customers []CustomerResult) float64 {
	total := 0.0
	for _, c := range customers {
		total += c.Got
	}
	level := waterLevel(customers, total)
	least := 1.0
	for i := range customers {
		c := &customers[i]
		c.Share = 1
		if fair := min(c.Asked, level); fair > 0 {
			c.Share = c.Got / fair
		}
		least = min(least, c.Share)
	}
	return least
}

// waterLevel returns the level at which the customers' tokens, each bounded by
// what it asked for, sum up to total.
func waterLevel(customers []CustomerResult, total float64) float64 {
	asked := make([]float64, 0, len(customers))
	for _, c := range customers {
		asked = append(asked, c.Asked)
	}
	slices.Sort(asked)
	for i, a := range asked {
		n := float64(len(asked) - i)
		if a*n >= total {
			return total / n
		}
		total -= a
	}
	return math.Inf(1)
}
