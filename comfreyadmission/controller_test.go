package comfreyadmission

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"comfreyridge.example/comfreyridge/comfreyverdict"
)

var epoch = time.Unix(1000, 0)

func TestRandomEventsKeepInvariants(t *testing.T) {
	for _, p := range Policies {
		for seed := range uint64(20) {
			t.Run(fmt.Sprintf("%s/%d", p, seed), func(t *testing.T) {
				applyRandomEvents(t, New(Config{Policy: p, CapacityTokens: 2000, QueueLimit: 16, MaxRunning: 12}), seed)
			})
		}
	}
}

// applyRandomEvents passes delayed, repeated and unknown events to the controller,
// whose invariants panic on a violation.
func applyRandomEvents(t *testing.T, c *Controller, seed uint64) {
	r := rand.New(rand.NewPCG(seed, 1))
	now := epoch
	states := map[string]ActionKind{}
	apply := func(actions []Action) {
		for _, a := range actions {
			if k, ok := states[a.ID]; ok && k == ActionAdmit && a.Kind != ActionPreempt && a.Reason != comfreyverdict.ReasonDuplicateRequest {
				t.Fatalf("%s after admission of %s", a.Kind, a.ID)
			}
			if a.Kind != ActionPreempt && a.Reason != comfreyverdict.ReasonDuplicateRequest {
				states[a.ID] = a.Kind
			}
		}
	}
	for i := range 3000 {
		now = now.Add(time.Duration(r.IntN(50)) * time.Millisecond)
		id := fmt.Sprint(max(0, i-r.IntN(60)))
		switch r.IntN(8) {
		case 0, 1:
			q := Request{ID: fmt.Sprint(i), Customer: fmt.Sprint(r.IntN(4)), PromptTokens: r.IntN(200), MaxTokens: r.IntN(300)}
			if r.IntN(3) == 0 {
				q.Deadline = now.Add(time.Duration(r.IntN(2000)) * time.Millisecond)
			}
			apply(c.Submit(now, q))
			apply(c.Submit(now, q))
		case 2, 3:
			apply(c.Progress(now, id, r.IntN(400)))
		case 4:
			apply(c.Finish(now, id, Outcome(r.IntN(3))))
		case 5:
			apply(c.Cancel(now, id))
		case 6:
			c.Preempted(now, id)
			c.Resumed(now, fmt.Sprint(r.IntN(i+1)))
		default:
			apply(c.Tick(now))
		}
	}
	c.audit()
}

func TestQueuedRequestIsRefusedAtItsDeadline(t *testing.T) {
	c := New(Config{Policy: PolicyGreedy, CapacityTokens: 100})
	c.Submit(epoch, Request{ID: "a", PromptTokens: 80})
	c.Submit(epoch, Request{ID: "b", PromptTokens: 80, Deadline: epoch.Add(time.Second)})
	got := c.Tick(epoch.Add(time.Second))
	if len(got) != 1 || got[0].Kind != ActionRefuse || got[0].Reason != comfreyverdict.ReasonDeadline {
		t.Fatalf("got %+v, want one refusal for the deadline", got)
	}
}

func TestFullQueueRefusesImmediately(t *testing.T) {
	c := New(Config{Policy: PolicyGreedy, CapacityTokens: 100, QueueLimit: 1})
	for _, id := range []string{"a", "b"} {
		c.Submit(epoch, Request{ID: id, PromptTokens: 80})
	}
	got := c.Submit(epoch, Request{ID: "c", PromptTokens: 80})
	if len(got) != 1 || got[0].Kind != ActionRefuse || got[0].RetryAfter <= 0 {
		t.Fatalf("got %+v, want one refusal with RetryAfter", got)
	}
}
