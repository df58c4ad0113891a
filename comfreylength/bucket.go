package comfreylength

import "math/bits"

const (
	// subBuckets is the number of buckets in each doubling of the length.
	subBuckets = 4
	// subBits is the base-two logarithm of subBuckets.
	subBits = 2
	// buckets covers lengths up to 2^17 tokens.
	buckets = subBuckets * 17
)

// Bucket returns the index of the bucket that holds a length. A length below
// zero counts as zero, one past the last bucket belongs to the last.
func Bucket(tokens int) int {
	if tokens < subBuckets {
		return max(tokens, 0)
	}
	e := bits.Len(uint(tokens)) - 1
	b := (e-subBits+1)*subBuckets + (tokens>>(e-subBits))&(subBuckets-1)
	return min(b, buckets-1)
}

// lowerBound returns the smallest length of bucket b.
func lowerBound(b int) int {
	if b < subBuckets {
		return b
	}
	e := b/subBuckets + subBits - 1
	return (subBuckets + b%subBuckets) << (e - subBits)
}

// NextBucketStart returns the smallest length above tokens that opens a bucket.
func NextBucketStart(tokens int) int {
	return lowerBound(Bucket(tokens) + 1)
}
