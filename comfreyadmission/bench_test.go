package comfreyadmission

import (
	"strconv"
	"testing"
	"time"
	"unsafe"
)

// nearlyFull returns a controller with 256 running generations whose KV cache is
// nearly full, and one request in its queue.
func nearlyFull(p Policy) (*Controller, time.Time) {
	c := New(Config{Policy: p, CapacityTokens: 256 * 1000, MaxRunning: 257})
	now := epoch
	for i := range 256 {
		now = now.Add(time.Second)
		c.Submit(now, Request{ID: strconv.Itoa(i), Customer: strconv.Itoa(i % 10), PromptTokens: 300, MaxTokens: 600})
		c.Progress(now, strconv.Itoa(i), 1+i)
	}
	return c, now
}

func BenchmarkAdmissionDecision(b *testing.B) {
	for _, p := range Policies {
		b.Run(p.String(), func(b *testing.B) {
			c, now := nearlyFull(p)
			r := Request{ID: "new", Customer: "1", PromptTokens: 300, MaxTokens: 600}
			b.ReportAllocs()
			for b.Loop() {
				now = now.Add(time.Millisecond)
				c.Submit(now, r)
				c.Cancel(now, r.ID)
			}
		})
	}
}

// BenchmarkAdmissionDecisionOverloaded has 384 requests in the queue and all
// retry slots taken.
func BenchmarkAdmissionDecisionOverloaded(b *testing.B) {
	c, now := nearlyFull(PolicyPredictedPeak)
	for i := range 384 {
		c.counts.submitted++
		c.enqueue(now, Request{ID: "q" + strconv.Itoa(i), Customer: strconv.Itoa(i % 10), PromptTokens: 300, MaxTokens: 600}, now)
	}
	for i := range maxRetrySlots {
		c.addRetrySlot(now, Request{ID: "b" + strconv.Itoa(i), Customer: strconv.Itoa(i % 10)}, time.Hour, 100)
	}
	r := Request{ID: "new", Customer: "1", PromptTokens: 300, MaxTokens: 600}
	b.ReportAllocs()
	for b.Loop() {
		c.Submit(now, r)
		c.Cancel(now, r.ID)
	}
}

func BenchmarkProgress(b *testing.B) {
	c, now := nearlyFull(PolicyPredictedPeak)
	ids := make([]string, 256)
	for i := range ids {
		ids[i] = strconv.Itoa(i)
	}
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		now = now.Add(50 * time.Microsecond)
		c.Progress(now, ids[i%256], 300+i/256)
	}
	b.ReportMetric(float64(unsafe.Sizeof(entry{})), "B/generation")
	b.ReportMetric(float64(unsafe.Sizeof(customerState{})), "B/account")
}

func TestAdmissionDecisionDoesNotAllocate(t *testing.T) {
	c, now := nearlyFull(PolicyPredictedPeak)
	r := Request{ID: "new", Customer: "1", PromptTokens: 300, MaxTokens: 600}
	n := testing.AllocsPerRun(1000, func() {
		now = now.Add(time.Millisecond)
		c.Submit(now, r)
		c.Progress(now, r.ID, 1)
		c.Cancel(now, r.ID)
	})
	if n != 0 {
		t.Errorf("%.1f allocations a decision, want 0", n)
	}
}
