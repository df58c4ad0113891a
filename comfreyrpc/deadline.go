package comfreyrpc

import (
	"net/http"
	"time"
)

const (
	// deadlineShare is the part of a time limit by which a write may exceed it,
	// so that the deadline is not moved for every write.
	deadlineShare = 8
	// maxDeadlineStep bounds that excess.
	maxDeadlineStep = time.Second
)

// WriteDeadline bounds the writes of one response in time. Moving a
// connection's deadline costs about as much as encoding a token, so it is moved
// at most once a step: an eighth of the limit, but no more than a second. It is
// not safe for concurrent use.
type WriteDeadline struct {
	control *http.ResponseController
	limit   time.Duration
	step    time.Duration
	moved   time.Time
}

// NewWriteDeadline returns a bound of limit for each write, which must be
// positive.
func NewWriteDeadline(c *http.ResponseController, limit time.Duration) *WriteDeadline {
	return &WriteDeadline{control: c, limit: limit, step: min(limit/deadlineShare, maxDeadlineStep)}
}

// Begin is called before each write. The write then has at least the limit and
// at most a step more.
func (d *WriteDeadline) Begin(now time.Time) {
	if !d.moved.IsZero() && now.Sub(d.moved) < d.step {
		return
	}
	d.moved = now
	_ = d.control.SetWriteDeadline(now.Add(d.limit + d.step))
}
