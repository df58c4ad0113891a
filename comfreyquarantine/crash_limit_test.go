package comfreyquarantine_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"comfreyridge.example/comfreyridge/comfreyseed"
)

const simulationSeeds = 100

// totals sums up the effects of one crashing request over many seeds.
type totals struct {
	simulations, crashes, maxCrashes, refused, interrupted, recovered int
	slowestRecovery                                                   time.Duration
}

func (l *totals) add(m *simulation) {
	l.simulations++
	l.crashes += m.crashes
	l.maxCrashes = max(l.maxCrashes, m.crashes)
	l.refused += m.refused
	l.interrupted += m.interrupted
	l.recovered += m.recovered
	l.slowestRecovery = max(l.slowestRecovery, m.slowestRecovery)
}

func (l *totals) log(t *testing.T) {
	t.Helper()
	t.Logf("%d simulations: %.2f crashes by a crashing request, at most %d; of %d interrupted harmless requests, %d completed elsewhere and %d were refused; the slowest recovery took %s",
		l.simulations, float64(l.crashes)/float64(l.simulations), l.maxCrashes, l.interrupted, l.recovered, l.refused, l.slowestRecovery.Round(time.Millisecond))
}

// runSimulations runs one simulation for each seed. A simulation fails if more
// than maxCrashes upstreams crash, a harmless request is refused or not
// completed, or a copy of the crashing request is not refused in the end.
func runSimulations(t *testing.T, seeds, maxCrashes int, c simulationConfig) {
	t.Helper()
	var l totals
	comfreyseed.Each(t, seeds, func(t *testing.T, r *rand.Rand) {
		m := newSimulation(c, r)
		m.run()
		l.add(m)
		if m.crashes > maxCrashes || m.refused > 0 {
			t.Fatalf("%d upstreams crashed and %d harmless requests were refused", m.crashes, m.refused)
		}
		if m.crashingRefused != m.copies {
			t.Fatalf("%d of %d copies of the crashing request were refused in the end", m.crashingRefused, m.copies)
		}
		if m.recovered != m.interrupted {
			t.Fatalf("%d of %d interrupted harmless requests completed elsewhere", m.recovered, m.interrupted)
		}
	})
	l.log(t)
}

// witnessConfig returns a fleet of 24 hosts whose sidecars can reach the
// witnesses.
func witnessConfig() simulationConfig {
	return simulationConfig{hosts: 24, gateways: 6, hasWitness: true, copies: 1, maxAttempts: 40, retryInterval: 2 * time.Second, requestsPerUpstream: 8}
}

func TestWitnessLimitsCrashesToTwo(t *testing.T) {
	runSimulations(t, simulationSeeds, 2, witnessConfig())
}

func TestWitnessLimitsCrashesWithFastRetries(t *testing.T) {
	c := witnessConfig()
	c.retryInterval = 10 * time.Millisecond
	runSimulations(t, simulationSeeds, 2, c)
}

func TestWitnessLimitsCrashesWithConcurrentCopies(t *testing.T) {
	c := witnessConfig()
	c.copies = 8
	c.retryInterval = 10 * time.Millisecond
	runSimulations(t, simulationSeeds, 2, c)
}

// TestGossipLimitsCrashesWithSlowRetries shows that crash records alone,
// without witnesses, limit the crashes if there is time between attempts for
// gossip to spread the records.
func TestGossipLimitsCrashesWithSlowRetries(t *testing.T) {
	c := witnessConfig()
	c.hasWitness = false
	c.retryInterval = 10 * time.Second
	runSimulations(t, simulationSeeds, 2, c)
}

// BenchmarkCrashLimit measures the crashes by one crashing request in a fleet
// of the target size. Its seeds are 1 to b.N.
func BenchmarkCrashLimit(b *testing.B) {
	const short, long = 10 * time.Millisecond, time.Second
	for _, c := range []struct {
		name   string
		change func(c *simulationConfig)
	}{
		{"gossip/pause=5s", func(c *simulationConfig) { c.hasWitness, c.retryInterval = false, 5*time.Second }},
		{"gossip/pause=1s", func(c *simulationConfig) { c.hasWitness, c.retryInterval = false, long }},
		{"gossip/pause=10ms", func(c *simulationConfig) { c.hasWitness = false }},
		{"gossip/copies=8", func(c *simulationConfig) { c.hasWitness, c.copies = false, 8 }},
		{"witness/pause=1s", func(c *simulationConfig) { c.retryInterval = long }},
		{"witness/pause=10ms", func(*simulationConfig) {}},
		{"witness/copies=8", func(c *simulationConfig) { c.copies = 8 }},
		{"witness/copies=8/lost-asks=20%", func(c *simulationConfig) { c.copies, c.lostCallRatio = 8, 0.2 }},
		{"witness/copies=8/lost-asks=100%", func(c *simulationConfig) { c.copies, c.lostCallRatio = 8, 1 }},
		{"witness/copies=8/split", func(c *simulationConfig) { c.copies, c.isPartitioned = 8, true }},
		{"witness/copies=8/lists-differ", func(c *simulationConfig) { c.copies, c.hostListsDiffer = 8, true }},
		{"witness/pause=1s/others=4", func(c *simulationConfig) { c.retryInterval, c.otherCrashing = long, 4 }},
		{"witness/pause=1s/others=4/hosts=12", func(c *simulationConfig) { c.retryInterval, c.otherCrashing, c.hosts, c.gateways = long, 4, 12, 6 }},
	} {
		b.Run(c.name, func(b *testing.B) {
			f := simulationConfig{hosts: 900, gateways: 360, hasWitness: true, copies: 1, maxAttempts: 40, retryInterval: short, requestsPerUpstream: 20}
			c.change(&f)
			benchmarkSimulation(b, f)
		})
	}
}

func benchmarkSimulation(b *testing.B, c simulationConfig) {
	var l totals
	for i := range b.N {
		m := newSimulation(c, rand.New(rand.NewPCG(uint64(i+1), 0)))
		m.run()
		l.add(m)
	}
	b.ReportMetric(0, "ns/op")
	b.ReportMetric(float64(l.crashes)/float64(l.simulations), "lost/request")
	b.ReportMetric(float64(l.maxCrashes), "most-lost")
	b.ReportMetric(float64(l.refused), "innocents-refused")
	b.ReportMetric(float64(l.interrupted)/float64(l.simulations), "broken/request")
	b.ReportMetric(l.slowestRecovery.Seconds(), "slowest-s")
}
