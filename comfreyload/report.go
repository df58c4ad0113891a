package comfreyload

import (
	"fmt"
	"io"
	"slices"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"comfreyridge.example/comfreyridge/comfreycaller"
	"comfreyridge.example/comfreyridge/comfreyverdict"
)

// The histograms count microseconds up to an hour with three digits.
const (
	histogramMax    = int64(time.Hour / time.Microsecond)
	histogramDigits = 3
)

// Distribution is the distribution of a time.
type Distribution struct {
	histogram *hdrhistogram.Histogram
}

func newDistribution() Distribution {
	return Distribution{histogram: hdrhistogram.New(1, histogramMax, histogramDigits)}
}

// Count returns how many times were recorded.
func (d Distribution) Count() int64 {
	return d.histogram.TotalCount()
}

// Quantile returns the time that a share q of the recorded times, from 0 to 1,
// does not exceed.
func (d Distribution) Quantile(q float64) time.Duration {
	return time.Duration(d.histogram.ValueAtQuantile(q*100)) * time.Microsecond
}

// record adds a time. One above an hour counts as an hour.
func (d Distribution) record(t time.Duration) {
	_ = d.histogram.RecordValue(min(histogramMax, int64(t/time.Microsecond)))
}

// Outcome counts the requests that ended in one way.
type Outcome struct {
	// Verdict and Reason are the typed failure's.
	Verdict comfreyverdict.Verdict
	Reason  comfreyverdict.Reason
	// Count is how many requests ended so.
	Count int
}

// Report is what a load run measured.
type Report struct {
	// Took is the time of the whole run.
	Took time.Duration
	// Requests counts the requests, and Complete those with a whole answer.
	Requests int
	Complete int
	// Tokens counts the tokens of all answers.
	Tokens int
	// Returned counts the requests that a caller sent after it had waited as a
	// Retry-After told it, and ReturnedServed those with a whole answer.
	Returned       int
	ReturnedServed int
	// FirstToken, InterToken and Stall are the distributions of the time to the
	// first token, of the time between two tokens, and of the longest silence of
	// each complete answer.
	FirstToken Distribution
	InterToken Distribution
	Stall      Distribution
	// Failures counts the other outcomes, the most frequent first.
	Failures []Outcome
}

// Write prints r, one line for each matter.
func (r Report) Write(w io.Writer) error {
	rate := float64(r.Tokens) / r.Took.Seconds()
	s := fmt.Sprintf("requests=%d complete=%d tokens=%d tokens-per-second=%.0f took=%s\n",
		r.Requests, r.Complete, r.Tokens, rate, r.Took.Round(time.Millisecond))
	s += r.FirstToken.line("first-token")
	s += r.InterToken.line("inter-token")
	s += r.Stall.line("stall")
	s += fmt.Sprintf("returned=%d returned-served=%d\n", r.Returned, r.ReturnedServed)
	for _, o := range r.Failures {
		s += fmt.Sprintf("verdict=%s reason=%s count=%d\n", o.Verdict, o.Reason, o.Count)
	}
	_, err := io.WriteString(w, s)
	return err
}

func (d Distribution) line(name string) string {
	return fmt.Sprintf("%s count=%d p50=%s p95=%s p99=%s max=%s\n",
		name, d.Count(), d.Quantile(0.5), d.Quantile(0.95), d.Quantile(0.99), d.Quantile(1))
}

// collector gathers the results of all callers. It is safe for concurrent use.
type collector struct {
	mu       sync.Mutex
	report   Report
	failures map[Outcome]int
}

func newCollector() *collector {
	return &collector{
		report: Report{
			FirstToken: newDistribution(),
			InterToken: newDistribution(),
			Stall:      newDistribution(),
		},
		failures: make(map[Outcome]int),
	}
}

// interToken records the time between two tokens.
func (c *collector) interToken(t time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.report.InterToken.record(t)
}

// result records the end of a request. The flag returned tells that the caller
// sent it after it had waited as it was told.
func (c *collector) result(r comfreycaller.Result, returned bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.report.Requests++
	c.report.Tokens += r.Tokens
	if returned {
		c.report.Returned++
	}
	if r.Tokens > 0 {
		c.report.FirstToken.record(r.FirstToken)
	}
	if !r.Complete {
		c.failures[Outcome{Verdict: r.Error.Verdict, Reason: r.Error.Reason}]++
		return
	}
	c.report.Complete++
	c.report.Stall.record(r.Stall)
	if returned {
		c.report.ReturnedServed++
	}
}

// finish returns the report on a run that took the given time.
func (c *collector) finish(took time.Duration) Report {
	c.mu.Lock()
	defer c.mu.Unlock()
	r := c.report
	r.Took = took
	for o, n := range c.failures {
		o.Count = n
		r.Failures = append(r.Failures, o)
	}
	slices.SortFunc(r.Failures, func(a, b Outcome) int { return b.Count - a.Count })
	return r
}
