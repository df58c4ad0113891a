package comfreyplacement_test

import (
	"fmt"
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
