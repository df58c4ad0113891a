package comfreyplacement_test

import (
	"fmt"
	"testing"
	"time"

	"comfreyridge.example/comfreyridge/comfreyplacement"
)

// Simulates an overload: a placement becomes possible every 200 ms, and a
// request that may wait for 1 s arrives every 50 ms. Guards against a queue
// that admits requests that time out once the service rate is known (after 3
// s).
func TestQueueRefusesRequestsThatWouldTimeOut(t *testing.T) {
	const tick, interval, timeout = 50 * time.Millisecond, 200 * time.Millisecond, time.Second
	var l comfreyplacement.Queue
	var entered []time.Duration
	timedOut, refused, placed := 0, 0, 0
	for now := time.Duration(0); now < 20*time.Second; now += tick {
		for len(entered) > 0 && now-entered[0] > timeout {
			l.Remove(fmt.Sprint(entered[0]), now-entered[0], false)
			entered = entered[1:]
			if now > 3*time.Second {
				timedOut++
			}
		}
		if now%interval == 0 && len(entered) > 0 {
			l.Remove(fmt.Sprint(entered[0]), now-entered[0], true)
			entered = entered[1:]
			placed++
		}
		if l.ExpectedWait() > timeout {
			refused++
			if r := l.RetryAfter(); r < 500*time.Millisecond || r > 5*time.Second {
				t.Fatalf("retry-after %v, want 500ms to 5s", r)
			}
			continue
		}
		l.Add(comfreyplacement.Waiter{ID: fmt.Sprint(now)})
		entered = append(entered, now)
	}
	if timedOut > placed/4 || refused == 0 || placed < 80 {
		t.Errorf("%d timed out, %d were refused at once, %d were placed; want few, some and at least 80", timedOut, refused, placed)
	}
}

func TestEmptyQueueExpectsNoWait(t *testing.T) {
	var l comfreyplacement.Queue
	l.Add(comfreyplacement.Waiter{ID: "x"})
	l.Remove("x", 5*time.Second, false)
	if e := l.ExpectedWait(); e != 0 {
		t.Errorf("expected wait in an empty queue is %v, want 0", e)
	}
}

func TestHeadroomForMoreUrgentWaiters(t *testing.T) {
	var l comfreyplacement.Queue
	l.Add(comfreyplacement.Waiter{ID: "a", Priority: 1, PromptTokens: 3000})
	if r := l.HeadroomTokens(2); r != 3000 {
		t.Errorf("a less urgent request leaves %d tokens free, want 3000", r)
	}
	if r := l.HeadroomTokens(1); r != 0 {
		t.Errorf("an equally urgent request leaves %d tokens free, want 0", r)
	}
}
