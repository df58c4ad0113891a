package comfreyrpc

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"time"
)

// deadlineRecorder records the write deadlines that are set on a response.
type deadlineRecorder struct {
	*httptest.ResponseRecorder
	deadlines []time.Time
}

func (r *deadlineRecorder) SetWriteDeadline(t time.Time) error {
	r.deadlines = append(r.deadlines, t)
	return nil
}

func TestWriteDeadline(t *testing.T) {
	for _, limit := range []time.Duration{time.Millisecond, 300 * time.Millisecond, 30 * time.Second} {
		r := &deadlineRecorder{ResponseRecorder: httptest.NewRecorder()}
		d := NewWriteDeadline(http.NewResponseController(r), limit)
		began := time.Unix(1000, 0)
		writes := 0
		for now := began; now.Before(began.Add(10 * limit)); now = now.Add(limit / 100) {
			d.Begin(now)
			writes++
			left := r.deadlines[len(r.deadlines)-1].Sub(now)
			if left < limit || left > limit+min(limit/8, time.Second) {
				t.Fatalf("timeout %s: a write has %s", limit, left)
			}
		}
		if n := len(r.deadlines); n > writes/3 {
			t.Errorf("timeout %s: the deadline was set %d times in %d writes", limit, n, writes)
		}
	}
}
