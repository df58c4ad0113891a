package comfreyreplay

import "time"

// stallThreshold is the pause from which on a caller notices that nothing
// arrives.
const stallThreshold = 100 * time.Millisecond

// ending says how a call ended.
type ending int

const (
	endingNone      ending = iota
	endingCompleted        // the whole answer arrived
	endingGivenUp          // refused or late beyond the caller's patience
	endingFailed           // the engine was lost in the middle of the answer
)

// call is a caller's request through all its attempts.
type call struct {
	record   *Record
	gateway  int
	replica  int
	attempts int           // since the caller last came, at one replica each
	tried    []int         // replicas that refused since the caller last came
	booked   int           // the replica that told the caller to come back, or -1
	returned int           // times that the caller came back
	promised time.Duration // what the last refusal told the caller to wait
	job      *job
	tokens   int
	first    time.Duration
	last     time.Duration
	stall    time.Duration
	ending   ending
}

// token counts one token that reaches the caller at t. It returns the time
// since the one before, or zero for the first.
func (c *call) token(t time.Duration) time.Duration {
	c.tokens++
	if c.tokens == 1 {
		c.first, c.last = t, t
		c.stall = t - c.record.At
		return 0
	}
	gap := t - c.last
	c.last = t
	if gap >= stallThreshold {
		c.stall += gap
	}
	return gap
}

// givesUp reports whether the caller's patience ends before t.
func (c *call) givesUp(t time.Duration) bool {
	return t > c.record.At+c.record.Patience
}
