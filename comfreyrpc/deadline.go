package comfreyrpc

import (
	"net/http"
	"time"
)

const (
	// deadlineShare divides the write timeout: a write may exceed the timeout by
	// this fraction, so that the deadline is not set for every write.
	deadlineShare = 8
	// maxDeadlineStep bounds the time by which a write may exceed its timeout.
	maxDeadlineStep = time.Second
)

// WriteDeadline applies a timeout to each write of one response. Setting a
// connection's deadline costs about as much as encoding a token, so it is set at
// most once per step, which is an eighth of the timeout, but at most a second. A
// WriteDeadline is not safe for concurrent use.
type WriteDeadline struct {
	control *http.ResponseController
	timeout time.Duration
	step    time.Duration
	lastSet time.Time
}

// NewWriteDeadline returns a WriteDeadline that gives each write the timeout,
// which must be positive.
func NewWriteDeadline(c *http.ResponseController, timeout time.Duration) *WriteDeadline {
	return &WriteDeadline{control: c, timeout: timeout, step: min(timeout/deadlineShare, maxDeadlineStep)}
}

// Begin is called before each write. The write then has at least the timeout,
// and at most the timeout plus a step.
func (d *WriteDeadline) Begin(now time.Time) {
	if !d.lastSet.IsZero() && now.Sub(d.lastSet) < d.step {
		return
	}
	d.lastSet = now
	_ = d.control.SetWriteDeadline(now.Add(d.timeout + d.step))
}
