package comfreyreturn_test

import (
	"fmt"
	"testing"
	"time"

	"comfreyridge.example/comfreyridge/comfreyreturn"
)

var start = time.Date(2026, 12, 4, 8, 0, 0, 0, time.UTC)

func key(i int) comfreyreturn.Key {
	return comfreyreturn.Key{byte(i), byte(i >> 8)}
}

func ExampleLedger() {
	a, b := comfreyreturn.NewLedger(), comfreyreturn.NewLedger()
	after := a.RetryAfter(start, "llm", time.Second, 20, 30*time.Second)
	a.Refuse(start, "llm", key(1), after)
	b.Merge(a.Recent(start))
	fmt.Println(after, b.Return(start.Add(after), key(1)), b.Return(start.Add(after), key(2)))
	// Output:
	// 1s true false
}

// TestCallersReturnOneAfterTheOther replays a burst in which each of 100 refused callers
// is told when to return. No more may return in a second than get a placement then,
// half of 40, and nobody later than a third of the time that it has.
func TestCallersReturnOneAfterTheOther(t *testing.T) {
	l := comfreyreturn.NewLedger()
	returns := map[int]int{}
	for i := range 100 {
		now := start.Add(time.Duration(i) * 10 * time.Millisecond)
		after := l.RetryAfter(now, "llm", 500*time.Millisecond, 40, 39*time.Second)
		if after > 13*time.Second {
			t.Fatalf("expected at most a third of 39 s, got %v", after)
		}
		l.Refuse(now, "llm", key(i), after)
		returns[int(now.Add(after).Sub(start)/time.Second)]++
	}
	for s, n := range returns {
		if n > 22 {
			t.Errorf("second %d: expected about 20 returns, got %d", s, n)
		}
	}
}

// TestReturnIsWithinWhatTheCallerHonours checks a caller with little time left.
func TestReturnIsWithinWhatTheCallerHonours(t *testing.T) {
	l := comfreyreturn.NewLedger()
	for i := range 50 {
		l.Refuse(start, "llm", key(i), 5*time.Second)
	}
	if got := l.RetryAfter(start, "llm", time.Second, 5, 6*time.Second); got > 2*time.Second || got < time.Second {
		t.Errorf("expected a time up to a third of 6 s, got %v", got)
	}
	if got := l.RetryAfter(start, "llm", time.Second, 5, 0); got != 0 {
		t.Errorf("expected no delay without time left, got %v", got)
	}
	if got := l.RetryAfter(start, "other", time.Second, 5, 60*time.Second); got != time.Second {
		t.Errorf("expected that callers of another service do not count, got %v", got)
	}
}

// TestRefusalsAreSentForAShortTime checks that refusals of other processes are not sent
// on, and that all are forgotten in the end.
func TestRefusalsAreSentForAShortTime(t *testing.T) {
	a, b := comfreyreturn.NewLedger(), comfreyreturn.NewLedger()
	a.Refuse(start, "llm", key(1), time.Second)
	b.Merge(a.Recent(start.Add(500 * time.Millisecond)))
	if len(a.Recent(start.Add(500*time.Millisecond))) != 1 || len(a.Recent(start.Add(time.Second))) != 0 || len(b.Recent(start)) != 0 {
		t.Error("expected that only the process which refused sends the refusal, for a short time")
	}
	b.Expire(start.Add(10 * time.Second))
	if !b.Return(start.Add(10*time.Second), key(1)) {
		t.Error("expected that a late caller is recognized")
	}
	if b.Return(start.Add(500*time.Millisecond), key(1)) || !b.Return(start.Add(900*time.Millisecond), key(1)) {
		t.Error("expected that a caller who does not wait as told is not recognized, and one who comes a little early is")
	}
	b.Expire(start.Add(30 * time.Second))
	if b.Return(start.Add(30*time.Second), key(1)) {
		t.Error("expected that a refusal is forgotten")
	}
}
