package comfreyforward

import (
	"context"
	"errors"
	"fmt"
	"testing"

	"comfreyridge.example/comfreyridge/comfreycall"
	"comfreyridge.example/comfreyridge/comfreyconnection"
)

// TestMayHaveStopped guards against a generation that counts as stopped by a call that
// was refused or never sent. Its stream would be resumed, or broken off, at its end.
func TestMayHaveStopped(t *testing.T) {
	for name, c := range map[string]struct {
		err  error
		want bool
	}{
		"stopped":                  {nil, true},
		"stopped without room":     {comfreycall.ErrNoCapacity, true},
		"no such generation":       {comfreycall.ErrUnknownGeneration, false},
		"another copy in progress": {comfreycall.ErrCopyInProgress, false},
		"another replica":          {fmt.Errorf("%w: got status 421", comfreycall.ErrOtherReplica), false},
		"not permitted or no connection": {
			fmt.Errorf("platform: %w", &comfreyconnection.SendError{IsDial: true, Cause: errors.New("refused")}), false,
		},
		"no response":  {fmt.Errorf("platform: %w", &comfreyconnection.SendError{MayHaveArrived: true, Cause: context.DeadlineExceeded}), true},
		"bad response": {errors.New("platform: KV cache copy: got status 500"), true},
	} {
		t.Run(name, func(t *testing.T) {
			if got := mayHaveStopped(c.err); got != c.want {
				t.Errorf("got %t, want %t", got, c.want)
			}
		})
	}
}
