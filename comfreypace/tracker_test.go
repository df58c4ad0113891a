package comfreypace_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"comfreyridge.example/comfreyridge/comfreypace"
	"comfreyridge.example/comfreyridge/comfreyreplica"
)

var start = time.Date(2026, 12, 4, 8, 0, 0, 0, time.UTC)

func at(ms int) time.Time {
	return start.Add(time.Duration(ms) * time.Millisecond)
}

func sample(id string, startMillis int64, pace float64, ms int) comfreypace.Sample {
	return comfreypace.Sample{Start: comfreyreplica.Start{ID: id, StartMillis: startMillis}, Pace: pace, At: at(ms)}
}

func ExampleTracker() {
	t := comfreypace.NewTracker()
	for i, pace := range []float64{0.5, 0.5, 1.25, 0.5} {
		t.Observe(sample("fast", 1, pace, 1000*i))
	}
	t.Observe(sample("other", 1, 1.2, 0))
	fmt.Printf("%+v\n", t.Pace(at(3100), "fast"))
	fmt.Printf("%+v\n", t.Pace(at(3100), "new"))
	// Output:
	// {Usual:0.5 Now:0.5 Slow:0.5 IsKnown:true}
	// {Usual:1.2 Now:1.2 Slow:1.2 IsKnown:false}
}

// TestUsualAndSlowPace replays replicas of two speeds, each of which is 2.5 times slower
// for a seventh of the time, with about one response a second.
func TestUsualAndSlowPace(t *testing.T) {
	r := rand.New(rand.NewPCG(1, 0))
	k := comfreypace.NewTracker()
	for ms := range 10_000 {
		if ms%25 != 0 {
			continue
		}
		i := r.IntN(20)
		pace := 1.2
		if i < 5 {
			pace = 0.55
		}
		if r.Float64() < 0.15 {
			pace *= 2.5
		}
		k.Observe(sample(fmt.Sprint(i), 1, pace, ms))
	}
	wrong := 0
	for i := range 20 {
		p := k.Pace(at(11_000), fmt.Sprint(i))
		want := 1.2
		if i < 5 {
			want = 0.55
		}
		if p.Usual != want || p.Slow < 2.4*want || p.Slow > 2.6*want {
			wrong++
		}
	}
	if wrong > 1 {
		t.Errorf("expected the usual and the slow pace of nearly all of 20 replicas, got %d wrong", wrong)
	}
}

// TestOneSlowMomentChangesThePaceNow checks that a slow moment counts while it is
// recent, and does not change the usual pace.
func TestOneSlowMomentChangesThePaceNow(t *testing.T) {
	k := comfreypace.NewTracker()
	for i := range 5 {
		k.Observe(sample("a", 1, 1, 1000*i))
	}
	if !k.Observe(sample("a", 1, 3, 5000)) {
		t.Error("expected the newest sample")
	}
	if k.Observe(sample("a", 1, 1, 4500)) || k.Observe(sample("a", 1, 3, 5000)) {
		t.Error("expected that an older sample and a repeated one are not the newest")
	}
	if p := k.Pace(at(5100), "a"); p.Now != 3 || p.Usual != 1 {
		t.Errorf("expected a slow moment now, got %+v", p)
	}
	if p := k.Pace(at(5500), "a"); p.Now != 1 {
		t.Errorf("expected the usual pace after the slow moment, got %+v", p)
	}
}

// TestPaceBelongsToAStart checks that a later start of a replica begins without a pace,
// and that late samples of an earlier one change nothing.
func TestPaceBelongsToAStart(t *testing.T) {
	k := comfreypace.NewTracker()
	k.Observe(sample("a", 1, 0.5, 0))
	k.Observe(sample("a", 2, 2, 1000))
	k.Observe(sample("a", 1, 0.5, 1500))
	if p := k.Pace(at(2000), "a"); p.Usual != 2 {
		t.Errorf("expected the pace of the later start, got %+v", p)
	}
	k.Expire(at(60_000))
	if p := k.Pace(at(60_000), "a"); p != comfreypace.Unknown {
		t.Errorf("expected no pace after a long time without samples, got %+v", p)
	}
}

// TestAbsurdPacesAreIgnored guards against values that no response states as such.
func TestAbsurdPacesAreIgnored(t *testing.T) {
	k := comfreypace.NewTracker()
	for _, v := range []float64{0, -1} {
		k.Observe(sample("a", 1, v, 0))
	}
	if p := k.Pace(start, "a"); p != comfreypace.Unknown {
		t.Errorf("expected no pace, got %+v", p)
	}
}
