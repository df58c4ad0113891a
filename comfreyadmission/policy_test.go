package comfreyadmission

import (
	"strconv"
	"testing"
	"time"

	"comfreyridge.example/comfreyridge/comfreyinvariant"
	"comfreyridge.example/comfreyridge/comfreylength"
	"comfreyridge.example/comfreyridge/comfreyverdict"
)

func TestParseAcceptsEveryName(t *testing.T) {
	for _, p := range Policies {
		if got, err := ParsePolicy(p.String()); err != nil || got != p {
			t.Errorf("policy %s: got %s, %v", p, got, err)
		}
	}
	for _, p := range []Preset{PresetStallTime, PresetPreemptions} {
		if got, err := ParsePreset(p.String()); err != nil || got != p {
			t.Errorf("preset %s: got %s, %v", p, got, err)
		}
	}
	if _, err := ParsePolicy("fastest"); err == nil {
		t.Error("unknown policy accepted")
	}
}

// TestPredictedPeakIncludesGrowth submits requests with long expected outputs whose
// prompts all fit. PolicyGreedy admits all of them, PolicyPredictedPeak only as
// many as fit at their full length.
func TestPredictedPeakIncludesGrowth(t *testing.T) {
	m := comfreylength.New(comfreylength.Config{})
	for range 200 {
		m.Distribution(comfreylength.Key{}).ObserveLength(800)
	}
	for _, p := range []Policy{PolicyGreedy, PolicyPredictedPeak} {
		c := New(Config{Policy: p, CapacityTokens: 10000, Lengths: m})
		now := epoch
		for i := range 30 {
			now = now.Add(time.Second)
			c.Submit(now, Request{ID: strconv.Itoa(i), PromptTokens: 200})
		}
		got := c.Load().Running
		if p == PolicyGreedy && got != 30 {
			t.Errorf("greedy runs %d, want 30", got)
		}
		if p == PolicyPredictedPeak && (got < 7 || got > 10) {
			t.Errorf("predicted-peak runs %d, want 7 to 10 of 1000 tokens each", got)
		}
	}
}

// overloaded returns a controller whose KV cache is full and which has just
// refused a request of the customer "large", and that refusal.
func overloaded(t *testing.T) (*Controller, time.Time, Action) {
	t.Helper()
	c := New(Config{CapacityTokens: 5000, MaxQueueTime: 40 * time.Second})
	now := epoch
	for i := range 500 {
		now = now.Add(10 * time.Millisecond)
		a := c.Submit(now, Request{ID: "l" + strconv.Itoa(i), Customer: "large", PromptTokens: 400, IsLastAttempt: true})
		if k := a[len(a)-1]; k.Kind == ActionRefuse {
			return c, now, k
		}
		for j := range 10 {
			c.Progress(now, "l"+strconv.Itoa(j), i+1)
		}
	}
	t.Fatal("nothing was refused")
	return nil, now, Action{}
}

func TestRetryAfterRefusalIsQueued(t *testing.T) {
	c, now, a := overloaded(t)
	if a.RetryAfter <= 0 {
		t.Fatalf("got %+v, want a refusal with RetryAfter", a)
	}
	now = now.Add(a.RetryAfter)
	got := c.Submit(now, Request{ID: a.ID, Customer: "large", PromptTokens: 400, RetryToken: a.ID, IsLastAttempt: true})
	if k := got[len(got)-1].Kind; k == ActionRefuse {
		t.Errorf("the retry was refused: %+v", got)
	}
}

func TestLargestCustomerIsRefusedFirst(t *testing.T) {
	c, now, a := overloaded(t)
	if a.Reason != comfreyverdict.ReasonCustomerLimit {
		t.Errorf("refused for %s, want the customer's limit", a.Reason)
	}
	got := c.Submit(now, Request{ID: "s", Customer: "small", PromptTokens: 400, IsLastAttempt: true})
	if k := got[len(got)-1].Kind; k == ActionRefuse {
		t.Errorf("the small customer was refused: %+v", got)
	}
}

func TestShortOutputOvertakesLongOneForLimitedTime(t *testing.T) {
	m := comfreylength.New(comfreylength.Config{})
	for range 200 {
		m.Distribution(comfreylength.Key{Customer: "desk"}).ObserveLength(50)
		m.Distribution(comfreylength.Key{Customer: "crew"}).ObserveLength(1500)
	}
	for _, late := range []time.Duration{time.Second, time.Minute} {
		c := New(Config{Preset: PresetPreemptions, CapacityTokens: 4000, MaxQueueTime: 5 * time.Minute, Lengths: m})
		c.Submit(epoch, Request{ID: "running", Customer: "crew", PromptTokens: 3000})
		c.Submit(epoch, Request{ID: "report", Customer: "crew", PromptTokens: 3000})
		c.Submit(epoch.Add(late), Request{ID: "check", Customer: "desk", PromptTokens: 3000})
		got := c.Finish(epoch.Add(late), "running", OutcomeCompleted)
		want := "check"
		if late == time.Minute {
			want = "report"
		}
		if len(got) == 0 || got[0].ID != want {
			t.Errorf("after %s: got %+v, want %s first", late, got, want)
		}
	}
}

func TestInvariantViolationsAreReported(t *testing.T) {
	var violations []comfreyinvariant.Name
	defer comfreyinvariant.Observe(func(n comfreyinvariant.Name, _ string) { violations = append(violations, n) })()
	c := New(Config{})
	c.Submit(epoch, Request{ID: "a", PromptTokens: 10})
	c.usedTokens++
	c.audit()
	c.counts.ended++
	c.endCall()
	if len(violations) != 2 || violations[0] != InvariantMemory || violations[1] != InvariantConservation {
		t.Errorf("got violations %v, want one of memory, then one of conservation", violations)
	}
}

// TestProcessSuspensionDoesNotIncreaseExpectedWait guards against counting a minute in
// which the process was suspended, with requests in the queue, as backlog time of
// a slow engine.
func TestProcessSuspensionDoesNotIncreaseExpectedWait(t *testing.T) {
	c, now, _ := overloaded(t)
	c.meter.departureRate = 3000
	c.queuedTokens = 6000
	c.Tick(now.Add(time.Minute))
	if got := c.Load().ExpectedWait; got < time.Second || got > 3*time.Second {
		t.Errorf("expected wait %s after the suspension, want about 2s", got)
	}
}

func TestProcessSuspensionDoesNotIncreaseInterTokenLatency(t *testing.T) {
	c := New(Config{})
	for i := range 50 {
		c.Submit(epoch, Request{ID: strconv.Itoa(i), PromptTokens: 500})
		c.Progress(epoch.Add(10*time.Millisecond), strconv.Itoa(i), 1)
	}
	resumed := epoch.Add(time.Minute)
	for i := range 50 {
		c.Progress(resumed, strconv.Itoa(i), 2)
	}
	if got := c.Load().InterTokenLatency; got > 20*time.Millisecond {
		t.Errorf("inter-token latency %s after the suspension, want at most 20ms", got)
	}
}
