package comfreylength

import "math/bits"

const (
	// bucketsPerDoubling is the number of buckets in each doubling of the length.
	bucketsPerDoubling = 4
	// bucketsPerDoublingLog2 is the base-two logarithm of bucketsPerDoubling.
	bucketsPerDoublingLog2 = 2
	// buckets is the number of buckets; they cover lengths up to 2^17 tokens.
	buckets = bucketsPerDoubling * 17
)

// Bucket returns the index of the bucket that contains a length. A length below
// zero counts as zero; a length beyond the last bucket belongs to the last.
func Bucket(tokens int) int {
	if tokens < bucketsPerDoubling {
		return max(tokens, 0)
	}
	e := bits.Len(uint(tokens)) - 1
	b := (e-bucketsPerDoublingLog2+1)*bucketsPerDoubling + (tokens>>(e-bucketsPerDoublingLog2))&(bucketsPerDoubling-1)
	return min(b, buckets-1)
}

// lowerBound returns the smallest length of bucket b.
func lowerBound(b int) int {
	if b < bucketsPerDoubling {
		return b
	}
	e := b/bucketsPerDoubling + bucketsPerDoublingLog2 - 1
	return (bucketsPerDoubling + b%bucketsPerDoubling) << (e - bucketsPerDoublingLog2)
}

// NextBucketStart returns the smallest length of the bucket after the one that
// contains tokens.
func NextBucketStart(tokens int) int {
	return lowerBound(Bucket(tokens) + 1)
}
