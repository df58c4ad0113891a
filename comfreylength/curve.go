package comfreylength

const (
	// maxBucketWeight bounds the observations that a bucket remembers; older ones
	// fade by half whenever it is reached.
	maxBucketWeight = 512
	// maxRebuildInterval bounds the observations after which a curve is rebuilt.
	maxRebuildInterval = 32
)

// Distribution is the length distribution of one key. It is not safe for concurrent
// use. A curve that its model has evicted goes on working.
type Distribution struct {
	parent   *Distribution
	parentWeight  float32
	reached  [buckets]float32 // generations whose fate in the bucket is known
	ended    [buckets]float32 // those of them that ended in it
	survival [buckets + 1]float32
	observations  int
	builtAt    int
	lastUsed     int // the model's clock at the last look-up
}

// ObserveSurvival tells that a running generation has left the bucket that holds tokens.
// Long answers teach the curve before they end, so the ones that are still
// running do not bias it towards short ones.
func (c *Distribution) ObserveSurvival(tokens int) {
	b := Bucket(tokens)
	for ; c.parent != nil; c = c.parent {
		c.add(b, 0)
	}
}

// ObserveGrowth tells that a running generation has grown from one length to another.
func (c *Distribution) ObserveGrowth(from, to int) {
	for n := NextBucketStart(from); n <= to; n = NextBucketStart(n) {
		c.ObserveSurvival(n - 1)
		if Bucket(n) == buckets-1 {
			return // The last bucket has no end.
		}
	}
}

// ObserveEnd tells that an answer ended by itself after tokens. The buckets before
// the last one must have been passed already.
func (c *Distribution) ObserveEnd(tokens int) {
	b := Bucket(tokens)
	for ; c.parent != nil; c = c.parent {
		c.add(b, 1)
	}
}

// ObserveLength adds a whole answer of the given length.
func (c *Distribution) ObserveLength(tokens int) {
	for b := range Bucket(tokens) {
		c.ObserveSurvival(lowerBound(b))
	}
	c.ObserveEnd(tokens)
}

// add counts one generation in bucket b.
func (c *Distribution) add(b int, ended float32) {
	c.reached[b]++
	c.ended[b] += ended
	if c.reached[b] > maxBucketWeight {
		c.reached[b] /= 2
		c.ended[b] /= 2
	}
	c.observations++
}

// Survival returns the chance that an answer of which generated tokens exist
// is longer than generated+further. It is 1 if further is zero or below.
func (c *Distribution) Survival(generated, further int) float64 {
	if further <= 0 {
		return 1
	}
	c.rebuildIfStale()
	s := c.survivalAt(generated)
	if s <= 0 {
		return 0
	}
	return float64(min(c.survivalAt(generated+further)/s, 1))
}

// RemainingTokens returns the expected number of tokens that follow the generated
// ones.
func (c *Distribution) RemainingTokens(generated int) float64 {
	c.rebuildIfStale()
	s := c.survivalAt(generated)
	if s <= 0 {
		return 0
	}
	sum := float32(0)
	from, left := generated, s
	for b := Bucket(generated) + 1; b <= buckets; b++ {
		n := lowerBound(b)
		sum += (left + c.survival[b]) / 2 * float32(n-from)
		from, left = n, c.survival[b]
	}
	return float64(sum / s)
}

// survivalAt returns the chance that an answer is survivalAt least tokens long.
func (c *Distribution) survivalAt(tokens int) float32 {
	b := Bucket(tokens)
	low, high := lowerBound(b), lowerBound(b+1)
	share := float32(tokens-low) / float32(high-low)
	return c.survival[b] + min(share, 1)*(c.survival[b+1]-c.survival[b])
}

// rebuildIfStale rebuilds the survival table if enough was observed since the last
// time.
func (c *Distribution) rebuildIfStale() {
	if c.observations-c.builtAt < min(1+c.builtAt/16, maxRebuildInterval) && c.survival[0] != 0 {
		return
	}
	c.builtAt = c.observations
	c.survival[0] = 1
	for b := range buckets {
		c.survival[b+1] = c.survival[b] * (1 - c.hazard(b))
	}
}

// hazard returns the chance that an answer that reaches bucket b ends in it.
// Few observations leave it near the parent's.
func (c *Distribution) hazard(b int) float32 {
	if c.parent == nil {
		return c.ended[b] / c.reached[b]
	}
	return (c.ended[b] + c.parentWeight*c.parent.hazard(b)) / (c.reached[b] + c.parentWeight)
}
