package comfreyroutesim_test

import (
	"testing"
	"time"

	"comfreyridge.example/comfreyridge/comfreyroutesim"
)

// The fault takes one of three data centres away, which the rest can not make
// up for, and gives it back.
const (
	faultFrom   = 60
	faultTo     = 120
	recoveredBy = 150
	faultEnd    = 210
)

func fault(seed uint64) comfreyroutesim.Config {
	return comfreyroutesim.Config{
		Seed: seed, Gateways: 6, Replicas: 12, DataCentres: 3, Slots: 24, QueueLimit: 24,
		Utilisation: 0.8, ServiceMean: 2 * time.Second, ServiceSigma: 1,
		HintPeriod: -1, Patience: 10 * time.Second, Returns: 3,
		FaultFrom: faultFrom * time.Second, FaultTo: faultTo * time.Second,
		Duration: faultEnd * time.Second,
	}
}

// load returns how often gateways sent on each request that they got.
func load(s comfreyroutesim.Second) float64 {
	return float64(s.Tries) / float64(s.Sent)
}

func TestFailedDataCentreDoesNotMultiplyLoad(t *testing.T) {
	for i := range *seeds * 4 {
		r := comfreyroutesim.Run(fault(*seed + i))
		before := r.Sum(20, faultFrom)
		during := r.Sum(faultFrom, faultTo)
		after := r.Sum(recoveredBy, faultEnd)
		goodput := func(s comfreyroutesim.Second, seconds int) float64 { return float64(s.Answered) / float64(seconds) }
		b, d, a := goodput(before, faultFrom-20), goodput(during, faultTo-faultFrom), goodput(after, faultEnd-recoveredBy)
		t.Logf("seed %d: load %.3f before, %.3f during, %.3f after; goodput %.1f/s, %.1f/s, %.1f/s; refused %d, expired %d, gave up %d",
			*seed+i, load(before), load(during), load(after), b, d, a, during.Refused, during.Expired, r.GaveUp())
		for s := 10; s+10 <= faultEnd; s++ {
			if l := load(r.Sum(s, s+10)); l > 1.10 {
				t.Errorf("seed %d: from second %d gateways sent each request %.3f times", *seed+i, s, l)
				break
			}
		}
		if a < 0.95*b {
			t.Errorf("seed %d: goodput was %.1f/s before the fault and is %.1f/s after it", *seed+i, b, a)
		}
	}
}

func TestTableRetryBudget(t *testing.T) {
	if !*tables {
		t.Skip("a table, not a check; run with -tables")
	}
	for _, free := range []bool{false, true} {
		var before, during, after comfreyroutesim.Second
		worst := 0.0
		for i := range *seeds * 4 {
			c := fault(*seed + i)
			c.NoBudget = free
			r := comfreyroutesim.Run(c)
			for s := 10; s+10 <= faultEnd; s++ {
				worst = max(worst, load(r.Sum(s, s+10)))
			}
			add(&before, r.Sum(20, faultFrom))
			add(&during, r.Sum(faultFrom, faultTo))
			add(&after, r.Sum(recoveredBy, faultEnd))
		}
		n := float64(*seeds * 4)
		t.Logf("without budget %t: load %.3f before, %.3f during (worst 10 s %.3f), %.3f after; goodput %.1f/s, %.1f/s, %.1f/s; refused %d, expired %d",
			free, load(before), load(during), worst, load(after),
			float64(before.Answered)/n/(faultFrom-20), float64(during.Answered)/n/(faultTo-faultFrom), float64(after.Answered)/n/(faultEnd-recoveredBy),
			during.Refused, during.Expired)
	}
}

func add(t *comfreyroutesim.Second, s comfreyroutesim.Second) {
	t.Sent += s.Sent
	t.Tries += s.Tries
	t.Answered += s.Answered
	t.Refused += s.Refused
	t.Expired += s.Expired
}
