package comfreylength

import "math/bits"

const (
	// bucketsPerDoubling is the number of buckets in each doubling of the length.
	bucketsPerDoubling = 4
	// bucketsPerDoublingBits is the base-two logarithm of subBuckets.
	bucketsPerDoublingBits = 2
	// buckets covers lengths up to 2^17 tokens.
	buckets = bucketsPerDoubling * 17
)

// Bucket returns the index of the bucket that holds a length. A length below
// zero counts as zero, one past the last bucket belongs to the last.
func Bucket(tokens int) int {
	if tokens < bucketsPerDoubling {
		return max(tokens, 0)
	}
	e := bits.Len(uint(tokens)) - 1
	b := (e-bucketsPerDoublingBits+1)*bucketsPerDoubling + (tokens>>(e-bucketsPerDoublingBits))&(bucketsPerDoubling-1)
	return min(b, buckets-1)
}

// lowerBound returns the smallest length of bucket b.
func lowerBound(b int) int {
	if b < bucketsPerDoubling {
		return b
	}
	e := b/bucketsPerDoubling + bucketsPerDoublingBits - 1
	return (bucketsPerDoubling + b%bucketsPerDoubling) << (e - bucketsPerDoublingBits)
}

// NextBucketStart returns the smallest length above tokens that opens a bucket.
func NextBucketStart(tokens int) int {
	return lowerBound(Bucket(tokens) + 1)
}
