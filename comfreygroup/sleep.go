package comfreygroup

import (
	"context"
	"time"
)

// Sleep waits for d. It reports false if ctx is cancelled first. If d is not
// positive, Sleep does not wait.
func Sleep(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}
