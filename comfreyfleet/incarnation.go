package comfreyfleet

import "time"

// Incarnation identifies one start of a process on a host. A process that
// starts later on the same host has a greater incarnation. Zero means unknown.
type Incarnation uint64

// incarnationRandomBits is the number of low random bits, which distinguish two
// processes that started within about a millisecond of each other.
const incarnationRandomBits = 20

// NewIncarnation returns the incarnation of a process that starts at start.
// The random value distinguishes processes with nearly equal start times.
func NewIncarnation(start time.Time, random uint64) Incarnation {
	const mask = 1<<incarnationRandomBits - 1
	return Incarnation(uint64(start.UnixNano())&^mask | random&mask)
}

// Start returns the start time of the process, accurate to about a millisecond.
func (i Incarnation) Start() time.Time {
	return time.Unix(0, int64(i>>incarnationRandomBits<<incarnationRandomBits))
}
