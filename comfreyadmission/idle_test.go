package comfreyadmission

import (
	"strconv"
	"testing"
	"time"
)

func TestIdleEngineRefusesNoRequestThatFits(t *testing.T) {
	c := New(Config{CapacityTokens: 2_000_000})
	now := epoch
	c.Submit(now, Request{ID: "first", Customer: "one", PromptTokens: 20, MaxTokens: 700})
	for i := range 50 {
		now = now.Add(40 * time.Millisecond)
		c.Progress(now, "first", i+1)
	}
	c.Finish(now, "first", OutcomeCompleted)
	for i := range 200 {
		now = now.Add(time.Millisecond)
		for _, a := range c.Submit(now, Request{ID: strconv.Itoa(i), Customer: "one", PromptTokens: 20, MaxTokens: 700}) {
			if a.Kind == ActionRefuse {
				t.Fatalf("request %d of 200 is refused with %s although the KV cache has capacity for all", i, a.Reason)
			}
		}
	}
}
