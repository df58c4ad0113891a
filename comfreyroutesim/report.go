package comfreyroutesim

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"comfreyridge.example/comfreyridge/comfreyrouter"
	"comfreyridge.example/comfreyridge/comfreyverdict"
)

// Second is what happened in one second of a run.
type Second struct {
	// Sent is how many requests callers sent, repetitions included.
	Sent int
	// Tries is how many times gateways sent a request on.
	Tries int
	// Retries is how many of the tries were retries of a gateway.
	Retries int
	// Answered is how many requests were answered.
	Answered int
	// Refused is how many requests got a final refusal.
	Refused int
	// Expired is how many callers stopped waiting in a queue.
	Expired int
}

// Report is what a run measured, without its warm-up but for Seconds.
type Report struct {
	// Seconds tells the run second by second, the warm-up included.
	Seconds []Second
	// Wait holds the times from the arrival at a sidecar to the first token,
	// in microseconds.
	Wait *hdrhistogram.Histogram
	// HintAge holds the ages of the hints that choices were taken on, in
	// milliseconds.
	HintAge *hdrhistogram.Histogram

	from    time.Time
	start   time.Time
	begun   int
	hits    int
	choices int
	spilled int
	probes  int
	lost    int
	gaveUp  int
}

func newReport(start time.Time, c Config) *Report {
	return &Report{
		Seconds: make([]Second, int((c.Warmup+c.Duration)/time.Second)+1),
		Wait:    hdrhistogram.New(1, time.Hour.Microseconds(), 3),
		HintAge: hdrhistogram.New(1, time.Hour.Milliseconds(), 3),
		from:    start.Add(c.Warmup),
		start:   start,
	}
}

// HitShare returns the part of the requests whose prefix was cached.
func (r *Report) HitShare() float64 {
	return float64(r.hits) / float64(max(r.begun, 1))
}

// SpillShare returns the part of the choices that left the near data centre.
func (r *Report) SpillShare() float64 {
	return float64(r.spilled) / float64(max(r.choices, 1))
}

// Probes returns how many probes were sent in the whole run.
func (r *Report) Probes() int {
	return r.probes
}

// GaveUp returns how many callers did not come back after a refusal.
func (r *Report) GaveUp() int {
	return r.gaveUp
}

// Sum adds up the seconds from a to before b.
func (r *Report) Sum(a, b int) Second {
	var t Second
	for _, s := range r.Seconds[a:b] {
		t.Sent += s.Sent
		t.Tries += s.Tries
		t.Retries += s.Retries
		t.Answered += s.Answered
		t.Refused += s.Refused
		t.Expired += s.Expired
	}
	return t
}

// Merge adds the distributions and totals of another run, but not its seconds.
func (r *Report) Merge(o *Report) {
	r.Wait.Merge(o.Wait)
	r.HintAge.Merge(o.HintAge)
	r.begun += o.begun
	r.hits += o.hits
	r.choices += o.choices
	r.spilled += o.spilled
	r.probes += o.probes
}

func (r *Report) second(now time.Time) *Second {
	return &r.Seconds[int(now.Sub(r.start)/time.Second)]
}

func (r *Report) sent(now time.Time) { r.second(now).Sent++ }

func (r *Report) retried(now time.Time) { r.second(now).Retries++ }

func (r *Report) refused(now time.Time) { r.second(now).Refused++ }

func (r *Report) expired(now time.Time) { r.second(now).Expired++ }

func (r *Report) answered(now time.Time) { r.second(now).Answered++ }

func (r *Report) chosen(now time.Time, c comfreyrouter.Choice) {
	r.second(now).Tries++
	if now.Before(r.from) {
		return
	}
	r.choices++
	if c.Reason == comfreyverdict.ReasonSpill {
		r.spilled++
	}
	if c.HintKnown {
		_ = r.HintAge.RecordValue(max(c.HintAge.Milliseconds(), 1))
	}
}

func (r *Report) started(q *request, wait time.Duration, hit bool) {
	if q.queuedAt.Before(r.from) {
		return
	}
	r.begun++
	if hit {
		r.hits++
	}
	_ = r.Wait.RecordValue(max(wait.Microseconds(), 1))
}
