package comfreyplacement_test

import (
	"fmt"
	"math"
	"testing"
	"time"

	"comfreyridge.example/comfreyridge/comfreyplacement"
)

// A gateway that has just started knows nothing, and learns from the streams that run.
func ExampleGenerationTimes() {
	var t comfreyplacement.GenerationTimes
	fmt.Println(t.Duration(700))
	for range 40 {
		t.ObserveFirstEvent(200 * time.Millisecond)
		t.ObserveTokens(32, 32*4*time.Millisecond)
	}
	fmt.Println(t.Duration(700).Round(10 * time.Millisecond))
	// Output:
	// 7.5s
	// 3s
}

// TestFewGenerationsTakeLongerThanExpected replays token times that vary with the load of
// the engines. It guards against a mean, which half of the generations exceed.
func TestFewGenerationsTakeLongerThanExpected(t *testing.T) {
	var g comfreyplacement.GenerationTimes
	longer := 0
	for i := range 400 {
		d := time.Duration(8+i*7%9) * time.Millisecond
		if i >= 100 && g.Duration(1)-g.Duration(0) < d {
			longer++
		}
		g.ObserveFirstEvent(100 * time.Millisecond)
		g.ObserveTokens(1, d)
	}
	if longer > 15 {
		t.Errorf("%d of 300 tokens took longer than expected, want at most 15", longer)
	}
}

// TestBoundOfGenerationNeedsObservations guards against a stopping gateway that takes a
// generation for a short one because it knows nothing, or because the usual one is short.
func TestBoundOfGenerationNeedsObservations(t *testing.T) {
	var g comfreyplacement.GenerationTimes
	if d := g.Bound(1); d < time.Hour {
		t.Errorf("nothing is known: got %v, want no bound", d)
	}
	g.ObserveFirstEvent(time.Second)
	if d := g.Bound(1); d < time.Hour {
		t.Errorf("the time of a token is not known: got %v, want no bound", d)
	}
	g.ObserveTokens(1, 20*time.Millisecond)
	for range 100 {
		g.ObserveFirstEvent(100 * time.Millisecond)
		g.ObserveTokens(1, 5*time.Millisecond)
	}
	if d := g.Bound(100); d < 2*time.Second || d > 6*time.Second {
		t.Errorf("got %v for 100 tokens, want at least the longest times seen, and at most twice those", d)
	}
	if d := g.Bound(math.Inf(1)); d < time.Hour {
		t.Errorf("no limit: got %v, want no bound", d)
	}
}
