package comfreyconfig_test

import (
	"flag"
	"fmt"
	"testing"
	"time"

	"comfreyridge.example/comfreyridge/comfreyconfig"
)

// long multiplies the number of seeds of the randomized tests.
var long = flag.Int("long", 1, "multiplies the seeds of the randomized tests")

// first is the first seed of the randomized tests.
var first = flag.Uint64("seed", 1, "first seed of the randomized tests")

// chaos injects random faults into a simulated fleet and checks its invariants.
type chaos struct {
	*sim
	number             uint64    // the highest valid number published
	publishedAt        time.Time // when the platform last changed its value
	partitionChangedAt time.Time // when the network partition last changed
	platformChangedAt  time.Time // when the platform's faults last changed
	isValid            bool      // whether the platform holds a valid revision
	raced              bool
	checks             checks
}

// checks counts how often each check applied.
type checks struct {
	spread, published, split int
}

// TestConfigurationUnderRandomFaults simulates fleets with platform outages and
// staleness, restarts, pauses, partitions, invalid revisions and operators who
// publish one number concurrently, alone and combined. To rerun one seed:
//
//	go test ./comfreyconfig -run UnderRandomFaults -seed N
func TestConfigurationUnderRandomFaults(t *testing.T) {
	var total checks
	for seed := *first; seed < *first+uint64(30**long); seed++ {
		c := &chaos{sim: newSim(t, seed, 40, 4, comfreyconfig.Timing{})}
		c.publishNext("first")
		c.startAll()
		c.onActivate = c.expectNoRevert(seed)
		c.run(activationLimit)
		for range 300 {
			if c.random.IntN(5) == 0 {
				c.fault()
			}
			c.run(time.Second)
			c.checkSpread(seed)
			c.checkPublished(seed)
		}
		c.checkHealed(seed)
		total.spread += c.checks.spread
		total.published += c.checks.published
		total.split += c.checks.split
	}
	t.Logf("checked %d processes against their peers and %d against the platform; %d runs ended with two contents of one number, each reported as a conflict",
		total.spread, total.published, total.split)
	if total.spread < 1000 || total.published < 1000 {
		t.Errorf("the checks applied too rarely, want at least 1000 of each: %+v", total)
	}
}

// expectNoRevert returns a function that fails the test if a process reverts to
// an older revision.
func (c *chaos) expectNoRevert(seed uint64) func(*simNode, uint64, comfreyconfig.Hash) {
	return func(n *simNode, number uint64, _ comfreyconfig.Hash) {
		for old := range n.activeSince {
			if old > number {
				c.t.Errorf("seed %d: %s reverted from revision %d to %d", seed, n.peer.Address, old, number)
			}
		}
	}
}

// fault injects or clears at most one random fault, or publishes a revision.
func (c *chaos) fault() {
	n := c.nodes[c.random.IntN(len(c.nodes))]
	switch c.random.IntN(16) {
	case 0, 1:
		if n.alive && !n.paused {
			c.pause(n, c.randomDuration(40*time.Second))
		}
	case 2, 3:
		c.stop(n)
		c.after(c.randomDuration(20*time.Second), func() {
			if !n.alive {
				c.start(n)
			}
		})
	case 4:
		for i := range 4 {
			c.partitionSide[fmt.Sprint("dc-", i)] = c.random.IntN(2)
		}
		c.partitionChangedAt = c.now
	case 5, 6:
		clear(c.partitionSide)
		c.partitionChangedAt = c.now
	case 7:
		c.setPlatform(!c.platform.down, c.platform.isStale)
	case 8:
		c.setPlatform(c.platform.down, !c.platform.isStale)
	case 9:
		c.setPlatform(false, false)
	case 10, 11:
		c.publishNext("valid")
	case 12:
		c.publishInvalid()
	case 13:
		c.publishNext("left")
		c.after(c.randomDuration(10*time.Second), func() {
			c.raced = true
			c.publish(c.number, fmt.Sprint("right", c.random.Uint32()))
			c.publishedAt, c.isValid = c.now, true
		})
	}
}

func (c *chaos) randomDuration(d time.Duration) time.Duration {
	return time.Duration(c.random.Int64N(int64(d)))
}

func (c *chaos) setPlatform(down, isStale bool) {
	if isStale && !c.platform.isStale {
		c.platform.stale = c.platform.current
	}
	c.platform.down, c.platform.isStale = down, isStale
	c.platformChangedAt = c.now
}

func (c *chaos) publishNext(tag string) {
	c.number++
	c.publish(c.number, fmt.Sprint(tag, c.number))
	c.publishedAt, c.isValid = c.now, true
}

func (c *chaos) publishInvalid() {
	f := content("bad")
	f[0].Content = []byte("services:\n  template:\n    kind: none\n")
	c.number++
	c.platform.publish(c.number, f)
	c.publishedAt, c.isValid = c.now, false
}

// isSteady reports whether a process has been running, not paused and in the
// same partition for at least the time within which a change must be active
// everywhere.
func (c *chaos) isSteady(n *simNode) bool {
	return n.alive && !n.paused && c.now.Sub(n.steadySince) > activationLimit && c.now.Sub(c.partitionChangedAt) > activationLimit
}

// checkSpread fails if a reachable peer of a process has had a newer active
// revision for long enough.
func (c *chaos) checkSpread(seed uint64) {
	c.t.Helper()
	newest := map[int]uint64{}
	for _, n := range c.nodes {
		x := n.number()
		if side := c.partitionSide[n.peer.DataCentre]; c.isSteady(n) && c.now.Sub(n.activeSince[x]) > activationLimit {
			newest[side] = max(newest[side], x)
		}
	}
	for _, n := range c.nodes {
		if c.isSteady(n) {
			c.checks.spread++
		}
		if w := newest[c.partitionSide[n.peer.DataCentre]]; c.isSteady(n) && n.number() < w {
			c.t.Fatalf("seed %d: at %v the active revision of %s is %d, that of its peers %d", seed, c.now, n.peer.Address, n.number(), w)
		}
	}
}

// checkPublished fails if a valid revision that the platform has returned for
// long enough is not active at a process.
func (c *chaos) checkPublished(seed uint64) {
	c.t.Helper()
	d := min(c.now.Sub(c.publishedAt), c.now.Sub(c.platformChangedAt))
	if !c.isValid || d < activationLimit || c.platform.down || c.platform.isStale {
		return
	}
	for _, n := range c.nodes {
		if !c.isSteady(n) {
			continue
		}
		c.checks.published++
		if n.number() < c.number {
			c.t.Fatalf("seed %d: at %v the active revision of %s is %d, published is %d", seed, c.now, n.peer.Address, n.number(), c.number)
		}
	}
}

// checkHealed clears all faults. It fails if two contents of one number are
// active without a reported conflict, or if the next revision does not end the
// conflict.
func (c *chaos) checkHealed(seed uint64) {
	c.t.Helper()
	clear(c.partitionSide)
	c.setPlatform(false, false)
	c.run(time.Minute)
	hashes := map[comfreyconfig.Hash]bool{}
	flags := 0
	for _, n := range c.nodes {
		if !n.alive {
			c.start(n)
		}
		hashes[n.node.Digest().Hash] = true
		if n.node.Digest().Conflict {
			flags++
		}
	}
	if len(hashes) > 1 {
		c.checks.split++
		if !c.raced || c.conflicts == 0 || flags == 0 {
			c.t.Errorf("seed %d: %d contents active, %d reported conflicts, %d digests with a conflict", seed, len(hashes), c.conflicts, flags)
		}
	}
	c.run(activationLimit)
	c.expectAllAfterNext(c.number + 1)
}

// TestFrequentRevisionsBecomeActive publishes revisions at intervals shorter
// than the settle period; they must still become active.
func TestFrequentRevisionsBecomeActive(t *testing.T) {
	s := newSim(t, 3, 40, 4, comfreyconfig.Timing{})
	s.publish(1, "a")
	s.startAll()
	s.run(activationLimit)
	const step = 700 * time.Millisecond
	due := uint64(activationLimit / step)
	for i := uint64(2); i < 120; i++ {
		s.publish(i, fmt.Sprint("b", i))
		s.run(step)
		for _, n := range s.nodes {
			if n.number()+due < i {
				t.Fatalf("revision %d is published, but the active revision of %s is %d", i, n.peer.Address, n.number())
			}
		}
	}
}

// TestRevisionSpreadsWhilePlatformIsDown restarts all processes but one while
// the platform is down. The remaining process must spread its revision to the
// others.
func TestRevisionSpreadsWhilePlatformIsDown(t *testing.T) {
	for seed := range uint64(20) {
		s := newSim(t, seed, 40, 4, comfreyconfig.Timing{})
		r := s.publish(1, "a")
		s.startAll()
		s.run(activationLimit)
		s.platform.down = true
		for _, n := range s.nodes[1:] {
			s.stop(n)
		}
		s.run(time.Second)
		for _, n := range s.nodes[1:] {
			s.start(n)
		}
		s.run(activationLimit)
		s.expectAll(r, "after a restart of all processes but one")
	}
}
