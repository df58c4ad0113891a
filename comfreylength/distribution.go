package comfreylength

const (
	// maxBucketWeight is the maximum weight of the observations in a bucket; they
	// are halved whenever it is exceeded, so that older ones count less.
	maxBucketWeight = 512
	// maxRebuildInterval is the maximum number of observations between two rebuilds
	// of a survival table.
	maxRebuildInterval = 32
)

// Distribution is the output length distribution of one key. It is not safe for
// concurrent use. A distribution that its model has evicted can still be used.
type Distribution struct {
	parent                *Distribution
	parentWeight          float32
	reached               [buckets]float32 // generations that ended in the bucket or passed it
	ended                 [buckets]float32 // those of them that ended in the bucket
	survival              [buckets + 1]float32
	observations          int
	observationsAtRebuild int
	lastUsed              int // Model.lookups at the last look-up
}

// ObserveSurvival records that a running generation has passed the bucket that
// contains tokens. Long outputs thus count before they end, so that the ones that
// are still running do not bias the distribution towards short outputs.
func (d *Distribution) ObserveSurvival(tokens int) {
	b := Bucket(tokens)
	for ; d.parent != nil; d = d.parent {
		d.add(b, 0)
	}
}

// ObserveGrowth records that the output of a running generation has grown from one
// length to another.
func (d *Distribution) ObserveGrowth(from, to int) {
	for n := NextBucketStart(from); n <= to; n = NextBucketStart(n) {
		d.ObserveSurvival(n - 1)
		if Bucket(n) == buckets-1 {
			return // The last bucket has no end.
		}
	}
}

// ObserveEnd records that an output was completed with the given length. The
// buckets before the one that contains tokens must have been recorded already, by
// ObserveSurvival or ObserveGrowth.
func (d *Distribution) ObserveEnd(tokens int) {
	b := Bucket(tokens)
	for ; d.parent != nil; d = d.parent {
		d.add(b, 1)
	}
}

// ObserveLength records a completed output of the given length, of which nothing
// was recorded before.
func (d *Distribution) ObserveLength(tokens int) {
	for b := range Bucket(tokens) {
		d.ObserveSurvival(lowerBound(b))
	}
	d.ObserveEnd(tokens)
}

// add counts one generation in bucket b.
func (d *Distribution) add(b int, ended float32) {
	d.reached[b]++
	d.ended[b] += ended
	if d.reached[b] > maxBucketWeight {
		d.reached[b] /= 2
		d.ended[b] /= 2
	}
	d.observations++
}

// Survival returns the probability that an output with the given number of
// generated tokens becomes longer than generated+further. It is 1 if further is
// zero or below.
func (d *Distribution) Survival(generated, further int) float64 {
	if further <= 0 {
		return 1
	}
	d.rebuildIfStale()
	s := d.survivalAt(generated)
	if s <= 0 {
		return 0
	}
	return float64(min(d.survivalAt(generated+further)/s, 1))
}

// RemainingTokens returns the expected number of further output tokens after the
// generated ones.
func (d *Distribution) RemainingTokens(generated int) float64 {
	d.rebuildIfStale()
	s := d.survivalAt(generated)
	if s <= 0 {
		return 0
	}
	sum := float32(0)
	from, left := generated, s
	for b := Bucket(generated) + 1; b <= buckets; b++ {
		n := lowerBound(b)
		sum += (left + d.survival[b]) / 2 * float32(n-from)
		from, left = n, d.survival[b]
	}
	return float64(sum / s)
}

// RemainingQuantile returns the number of further output tokens, after the generated ones,
// that an output does not exceed with the given probability.
func (d *Distribution) RemainingQuantile(generated int, probability float64) float64 {
	d.rebuildIfStale()
	target := float32(1-probability) * d.survivalAt(generated)
	from, left := generated, d.survivalAt(generated)
	for b := Bucket(generated) + 1; b <= buckets; b++ {
		n := lowerBound(b)
		if s := d.survival[b]; s <= target {
			share := float32(1)
			if left > s {
				share = (left - target) / (left - s)
			}
			return float64(from-generated) + float64(share)*float64(n-from)
		}
		from, left = n, d.survival[b]
	}
	return float64(from - generated)
}

// survivalAt returns the probability that an output is at least tokens long,
// interpolated linearly within the bucket.
func (d *Distribution) survivalAt(tokens int) float32 {
	b := Bucket(tokens)
	low, high := lowerBound(b), lowerBound(b+1)
	share := float32(tokens-low) / float32(high-low)
	return d.survival[b] + min(share, 1)*(d.survival[b+1]-d.survival[b])
}

// rebuildIfStale rebuilds the survival table if there were enough observations
// since the last rebuild.
func (d *Distribution) rebuildIfStale() {
	if d.observations-d.observationsAtRebuild < min(1+d.observationsAtRebuild/16, maxRebuildInterval) && d.survival[0] != 0 {
		return
	}
	d.observationsAtRebuild = d.observations
	d.survival[0] = 1
	for b := range buckets {
		d.survival[b+1] = d.survival[b] * (1 - d.hazard(b))
	}
}

// hazard returns the probability that an output that reaches bucket b ends in it.
// With few observations it is close to the parent's.
func (d *Distribution) hazard(b int) float32 {
	if d.parent == nil {
		return d.ended[b] / d.reached[b]
	}
	return (d.ended[b] + d.parentWeight*d.parent.hazard(b)) / (d.reached[b] + d.parentWeight)
}
