package comfreyplacement_test

import (
	"fmt"
	"testing"
	"time"

	"comfreyridge.example/comfreyridge/comfreyplacement"
)

// Drafts take 9 s and checks half a second, at a gateway that closes its connections
// 7.6 s after its stop began.
func ExamplePlannedStop() {
	for _, since := range []time.Duration{0, 2 * time.Second, 7 * time.Second} {
		s := comfreyplacement.PlannedStop{EndsIn: 7600*time.Millisecond - since, DeregisteredIn: max(2500*time.Millisecond-since, 0)}
		fmt.Println(since, s.CanServe(9*time.Second), s.CanServe(500*time.Millisecond), s.RetryAfter(39*time.Second), s.RetryAfter(3*time.Second))
	}
	// Output:
	// 0s false true 2.5s 1s
	// 2s false true 500ms 500ms
	// 7s false false 50ms 50ms
}

// TestLateGenerationHasToBeSureToEnd replays a generation of unknown length that arrives
// before and after the load balancer has removed the gateway.
func TestLateGenerationHasToBeSureToEnd(t *testing.T) {
	early := comfreyplacement.PlannedStop{EndsIn: 7 * time.Second, DeregisteredIn: 2 * time.Second}.MinChance()
	late := comfreyplacement.PlannedStop{EndsIn: 4 * time.Second}.MinChance()
	if early <= 0.5 || early >= late || late < 1 {
		t.Errorf("got a chance of %v and %v, want more than even and sure", early, late)
	}
}

// TestQueueIsEmptyBeforePlannedStopEnds replays a stop of a gateway whose queue is full
// and for which no room becomes free: every waiting request is refused in time, whatever
// its expected duration, and those that can still be served go on waiting.
func TestQueueIsEmptyBeforePlannedStopEnds(t *testing.T) {
	const end, deregistered = 7600 * time.Millisecond, 2500 * time.Millisecond
	for _, expected := range []time.Duration{0, 300 * time.Millisecond, 3 * time.Second, 9 * time.Second} {
		refusedAt := time.Duration(-1)
		for now := time.Duration(0); now < end && refusedAt < 0; now += 100 * time.Millisecond {
			s := comfreyplacement.PlannedStop{EndsIn: end - now, DeregisteredIn: max(deregistered-now, 0)}
			if s.CanServe(expected) {
				continue
			}
			refusedAt = now
			if after := s.RetryAfter(39 * time.Second); now+after < deregistered {
				t.Errorf("%v: refused after %v to return after %v, which may lead to the same gateway", expected, now, after)
			}
		}
		if refusedAt < 0 || refusedAt > end-300*time.Millisecond {
			t.Errorf("%v: refused after %v, want 0.3 s before the end", expected, refusedAt)
		}
		if longest := end - expected - 700*time.Millisecond; refusedAt < longest {
			t.Errorf("%v: refused after %v, although it could be served until %v", expected, refusedAt, longest)
		}
	}
}

// TestManyFinalResponsesBeginEarlier replays the end of a stop of 8 s. It guards against
// hundreds of final responses that a slow host cannot write in the time that suffices for a
// few, and against an end of the work of replicas in more than a sixth of the grace period.
func TestManyFinalResponsesBeginEarlier(t *testing.T) {
	const gracePeriod, end = 8 * time.Second, 7600 * time.Millisecond
	for _, c := range []struct {
		unanswered int
		want       time.Duration
	}{{0, 7300 * time.Millisecond}, {100, 7300 * time.Millisecond}, {300, 7000 * time.Millisecond}, {600, 6670 * time.Millisecond}, {4000, 6670 * time.Millisecond}} {
		now := time.Duration(0)
		for !(comfreyplacement.PlannedStop{EndsIn: end - now, GracePeriod: gracePeriod, KilledIn: gracePeriod - now}).MustRespond(c.unanswered) {
			now += 10 * time.Millisecond
		}
		if now != c.want {
			t.Errorf("%d requests get their final responses after %v, want %v", c.unanswered, now, c.want)
		}
	}
}
