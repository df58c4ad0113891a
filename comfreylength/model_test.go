package comfreylength

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"unsafe"
)

func TestBucketBoundsContainEveryLength(t *testing.T) {
	for n := range 1 << 17 {
		b := Bucket(n)
		if n < lowerBound(b) || n >= lowerBound(b+1) {
			t.Fatalf("length %d in bucket %d of [%d, %d)", n, b, lowerBound(b), lowerBound(b+1))
		}
	}
}

func TestDistributionConvergesToSamples(t *testing.T) {
	r := rand.New(rand.NewPCG(1, 1))
	d := New(Config{}).Distribution(Key{Customer: "a", Service: "s"})
	var lengths []int
	for range 2000 {
		n := int(math.Exp(6 + 0.8*r.NormFloat64()))
		lengths = append(lengths, n)
		d.ObserveLength(n)
	}
	for _, g := range []int{0, 200, 800} {
		for _, h := range []int{50, 200, 800} {
			alive, longer := 0.0, 0.0
			for _, n := range lengths {
				if n >= g {
					alive++
				}
				if n >= g+h {
					longer++
				}
			}
			if got, want := d.Survival(g, h), longer/alive; math.Abs(got-want) > 0.08 {
				t.Errorf("Survival(%d, %d) = %.3f, sampled %.3f", g, h, got, want)
			}
		}
	}
}

// TestRunningGenerationsAreCounted guards against a bias towards short outputs: half
// of the generations end early, the others are still running with long outputs.
func TestRunningGenerationsAreCounted(t *testing.T) {
	d := New(Config{}).Distribution(Key{Service: "s"})
	for range 100 {
		d.ObserveLength(20)
		for b := range Bucket(1000) {
			d.ObserveSurvival(lowerBound(b))
		}
	}
	if got := d.Survival(0, 900); math.Abs(got-0.5) > 0.1 {
		t.Errorf("Survival(0, 900) = %.3f, want about 0.5", got)
	}
}

func TestNewCustomerUsesServiceDistribution(t *testing.T) {
	m := New(Config{})
	for range 300 {
		m.Distribution(Key{Customer: "a", Service: "reports"}).ObserveLength(2000)
		m.Distribution(Key{Customer: "a", Service: "quotes"}).ObserveLength(30)
	}
	long := m.Distribution(Key{Customer: "b", Service: "reports"}).Survival(0, 500)
	short := m.Distribution(Key{Customer: "b", Service: "quotes"}).Survival(0, 500)
	if long < 0.8 || short > 0.1 {
		t.Errorf("Survival(0, 500) of reports is %.2f, of quotes %.2f; want at least 0.8 and at most 0.1", long, short)
	}
}

func TestModelEvictsLeastRecentlyUsedKey(t *testing.T) {
	m := New(Config{MaxKeys: 2})
	a := m.Distribution(Key{Customer: "a"})
	m.Distribution(Key{Customer: "b"})
	m.Distribution(Key{Customer: "a"})
	m.Distribution(Key{Customer: "c"})
	if m.Distribution(Key{Customer: "a"}) != a || len(m.byKey) != 2 {
		t.Errorf("kept %d keys, a kept: %t", len(m.byKey), m.Distribution(Key{Customer: "a"}) == a)
	}
}

func BenchmarkSurvival(b *testing.B) {
	d := New(Config{}).Distribution(Key{Service: "s"})
	for i := range 1000 {
		d.ObserveLength(i)
	}
	for i := 0; b.Loop(); i++ {
		d.Survival(i&1023, 128)
	}
	b.ReportMetric(float64(unsafe.Sizeof(*d)), "B/customer")
}

func ExampleDistribution_Survival() {
	d := New(Config{}).Distribution(Key{Customer: "a", Service: "reports"})
	for range 200 {
		d.ObserveLength(100)
		d.ObserveLength(1000)
	}
	fmt.Printf("%.1f\n", d.Survival(0, 500))
	fmt.Printf("%.1f\n", d.Survival(200, 500))
	// Output:
	// 0.5
	// 1.0
}

// TestObserveGrowthLearnsLength records outputs of 700 tokens that grow by 4 tokens
// at a time, like those of a stream with 4 tokens an event.
func TestObserveGrowthLearnsLength(t *testing.T) {
	m := New(Config{})
	d := m.Distribution(Key{Service: "s", Class: "drafts"})
	for range 100 {
		for n := 0; n < 700; n += 4 {
			d.ObserveGrowth(n, n+4)
		}
		d.ObserveEnd(700)
	}
	if got := d.RemainingTokens(0); got < 600 || got > 850 {
		t.Errorf("RemainingTokens(0) = %.0f, want about 700", got)
	}
}
