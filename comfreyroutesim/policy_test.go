package comfreyroutesim_test

import (
	"flag"
	"fmt"
	"testing"
	"time"

	"comfreyridge.example/comfreyridge/comfreyrouter"
	"comfreyridge.example/comfreyridge/comfreyroutesim"
)

var (
	tables = flag.Bool("tables", false, "print the tables of docs/design/routing.md, which takes minutes")
	seeds  = flag.Uint64("seeds", 3, "how many seeds a row of a table adds up")
	seed   = flag.Uint64("seed", 1, "first seed of the tables")
)

// small is the fleet of today, in one data centre.
func small() comfreyroutesim.Config {
	return comfreyroutesim.Config{
		Gateways: 6, Replicas: 12, DataCentres: 1, Slots: 24, QueueLimit: 48,
		Utilisation: 0.85, ServiceMean: 8 * time.Second, ServiceSigma: 1.2,
		HintPeriod: -1, Patience: 30 * time.Second, Warmup: 60 * time.Second, Duration: 300 * time.Second,
	}
}

// centre is one data centre of the fleet to come, which has six of them.
func centre() comfreyroutesim.Config {
	c := small()
	c.Gateways, c.Replicas, c.Slots, c.QueueLimit = 60, 150, 100, 200
	c.ServiceMean, c.Utilisation = 10*time.Second, 0.95
	c.Duration = 60 * time.Second
	return c
}

// table runs one configuration with several seeds and prints a row for it.
func table(t *testing.T, name string, c comfreyroutesim.Config) {
	t.Helper()
	t.Run(name, func(t *testing.T) {
		t.Parallel()
		var sum *comfreyroutesim.Report
		for i := range *seeds {
			c.Seed = *seed + i
			r := comfreyroutesim.Run(c)
			if sum != nil {
				r.Merge(sum)
			}
			sum = r
		}
		ms := func(us int64) float64 { return float64(us) / 1000 }
		t.Logf("mean %7.1f p95 %7.1f p99 %7.1f ms, hint p50 %5d ms, hit %.3f spill %.3f probes/s %.1f",
			sum.Wait.Mean()/1000, ms(sum.Wait.ValueAtQuantile(95)), ms(sum.Wait.ValueAtQuantile(99)),
			sum.HintAge.ValueAtQuantile(50), sum.HitShare(), sum.SpillShare(),
			float64(sum.Probes())/float64(*seeds)/(c.Warmup+c.Duration).Seconds()/float64(c.Gateways))
	})
}

var policies = []comfreyrouter.Policy{
	comfreyrouter.PolicyRandom, comfreyrouter.PolicyLeastLoaded, comfreyrouter.PolicyFewChoices, comfreyrouter.PolicyProbePool,
}

func TestTableLag(t *testing.T) {
	if !*tables {
		t.Skip("a table, not a check; run with -tables")
	}
	lags := []time.Duration{0, 200 * time.Millisecond, time.Second, 5 * time.Second, 20 * time.Second, 60 * time.Second}
	for _, f := range []func() comfreyroutesim.Config{small, centre} {
		for _, p := range policies {
			for _, d := range lags {
				c := f()
				c.HintDelay = d
				c.Router.Policy = p
				table(t, fmt.Sprintf("%d/%d %s lag %s", c.Replicas, c.Gateways, p, d), c)
			}
		}
	}
}

func TestTableSubset(t *testing.T) {
	if !*tables {
		t.Skip("a table, not a check; run with -tables")
	}
	for _, n := range []int{12, 32, 64, 150} {
		for _, r := range []float64{-1, 4, 8, 16} {
			c := centre()
			c.Router = comfreyrouter.Config{SubsetSize: n, ProbesPerSecond: r}
			table(t, fmt.Sprintf("subset %d probes %g", n, r), c)
		}
	}
}

func TestTableSpill(t *testing.T) {
	if !*tables {
		t.Skip("a table, not a check; run with -tables")
	}
	for _, skew := range []float64{1, 1.6} {
		for _, l := range []float64{0.8, 0.9, 1, 1.5, 1000} {
			c := small()
			c.DataCentres, c.Skew = 3, skew
			c.Router.SpillThreshold = l
			table(t, fmt.Sprintf("skew %g spill from %g", skew, l), c)
		}
	}
}

func TestTableAffinity(t *testing.T) {
	if !*tables {
		t.Skip("a table, not a check; run with -tables")
	}
	for _, bound := range []float64{0, 0.8, 0.9, 1, 1.1, 1.25, 1000} {
		c := small()
		c.Prefixes, c.CachedPrefixes, c.Prefill = 400, 40, 400*time.Millisecond
		c.Affinity = bound > 0
		c.Router.AffinityLoadFactor = bound
		table(t, fmt.Sprintf("affinity bound %g", bound), c)
	}
}

func TestTableTarget(t *testing.T) {
	if !*tables {
		t.Skip("a table, not a check; run with -tables")
	}
	c := centre()
	c.Gateways, c.Replicas, c.DataCentres = 360, 900, 6
	c.Utilisation = 0.95
	table(t, "900/360", c)
}
