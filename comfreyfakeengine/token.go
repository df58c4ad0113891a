package comfreyfakeengine

import (
	"fmt"
	"math"
	"math/rand/v2"
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// lengthSigma is the spread of the answer lengths' logarithm.
const lengthSigma = 1.0

// maxLength bounds the answer lengths that are drawn.
const maxLength = 50_000

// Mark returns the word that stands in every token of a generation.
func Mark(generation string) string {
	return fmt.Sprintf("%08x", uint32(xxhash.Sum64String(generation)))
}

// TokenText returns the text of token index, counted from 0, of the
// generation. Two generations share no token.
func TokenText(generation string, index int) string {
	return string(appendToken(nil, Mark(generation), index))
}

// AnswerText returns the whole text of an answer of length tokens.
func AnswerText(generation string, length int) string {
	return string(appendAnswer(nil, Mark(generation), length))
}

func appendToken(b []byte, mark string, index int) []byte {
	b = append(b, " w"...)
	b = append(b, mark...)
	b = append(b, '-')
	return strconv.AppendInt(b, int64(index), 10)
}

func appendAnswer(b []byte, mark string, length int) []byte {
	for i := range length {
		b = appendToken(b, mark, i)
	}
	return b
}

// drawLength returns the seeded lognormal length of the answer to a prompt.
func drawLength(seed uint64, prompt []byte, median int) int {
	r := rand.New(rand.NewPCG(seed, xxhash.Sum64(prompt)))
	n := float64(median) * math.Exp(lengthSigma*r.NormFloat64())
	return min(maxLength, max(1, int(n)))
}
