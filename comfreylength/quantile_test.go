package comfreylength_test

import (
	"testing"

	"comfreyridge.example/comfreyridge/comfreylength"
)

// TestRemainingQuantileGrowsWithProbability observes outputs of which one in ten is long.
func TestRemainingQuantileGrowsWithProbability(t *testing.T) {
	d := comfreylength.New(comfreylength.Config{}).Distribution(comfreylength.Key{Service: "llm"})
	for i := range 1000 {
		n := 50
		if i%10 == 0 {
			n = 2000
		}
		d.ObserveLength(n)
	}
	for _, c := range []struct {
		generated   int
		probability float64
		least, most float64
	}{
		{0, 0.5, 40, 60},
		{0, 0.8, 40, 60},
		{0, 0.97, 1700, 2100},
		{1000, 0.5, 700, 1100},
		{0, 1, 2000, 1 << 18},
	} {
		if got := d.RemainingQuantile(c.generated, c.probability); got < c.least || got > c.most {
			t.Errorf("after %d tokens with probability %v: got %v, want %v to %v", c.generated, c.probability, got, c.least, c.most)
		}
	}
}
