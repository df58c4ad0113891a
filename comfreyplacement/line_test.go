package comfreyplacement_test

import (
	"fmt"
	"testing"
	"time"

	"comfreyridge.example/comfreyridge/comfreyplacement"
)

// Replays an overload: places come free each 200 ms, requests arrive each
// 50 ms and have 1 s. Nobody who joins may wait in vain once the pace is known.
func TestLineRejectsWhoWouldWaitInVain(t *testing.T) {
	const tick, pace, patience = 50 * time.Millisecond, 200 * time.Millisecond, time.Second
	var l comfreyplacement.Queue
	var entered []time.Duration
	inVain, rejected, placed := 0, 0, 0
	for now := time.Duration(0); now < 20*time.Second; now += tick {
		for len(entered) > 0 && now-entered[0] > patience {
			l.Remove(fmt.Sprint(entered[0]), now-entered[0], false)
			entered = entered[1:]
			if now > 3*time.Second {
				inVain++
			}
		}
		if now%pace == 0 && len(entered) > 0 {
			l.Remove(fmt.Sprint(entered[0]), now-entered[0], true)
			entered = entered[1:]
			placed++
		}
		if l.ExpectedWait() > patience {
			rejected++
			if r := l.RetryAfter(); r < 500*time.Millisecond || r > 5*time.Second {
				t.Fatalf("a caller is told to return in %v", r)
			}
			continue
		}
		l.Add(comfreyplacement.Waiter{ID: fmt.Sprint(now)})
		entered = append(entered, now)
	}
	if inVain > placed/4 || rejected == 0 || placed < 80 {
		t.Errorf("%d waited in vain, %d were rejected at once, %d were placed", inVain, rejected, placed)
	}
}

func TestEmptyLineRejectsNobody(t *testing.T) {
	var l comfreyplacement.Queue
	l.Add(comfreyplacement.Waiter{ID: "x"})
	l.Remove("x", 5*time.Second, false)
	if e := l.ExpectedWait(); e != 0 {
		t.Errorf("an empty line expects %v", e)
	}
}

func TestMoreUrgentWaitersKeepTheirRoom(t *testing.T) {
	var l comfreyplacement.Queue
	l.Add(comfreyplacement.Waiter{ID: "a", Priority: 1, PromptTokens: 3000})
	if r := l.HeadroomTokens(2); r != 3000 {
		t.Errorf("a less urgent request leaves %d tokens", r)
	}
	if r := l.HeadroomTokens(1); r != 0 {
		t.Errorf("an equally urgent request leaves %d tokens", r)
	}
}
