package comfreydemo

import (
	"context"
	"testing"
	"time"
)

// TestStartSystemUnderRaceDetector starts and stops whole installations. With
// the race detector on, it fails if starting processes share state with the
// code that starts them.
func TestStartSystemUnderRaceDetector(t *testing.T) {
	for range 3 {
		ctx, cancel := context.WithTimeout(t.Context(), 30*time.Second)
		s, err := StartSystem(ctx, anyPort)
		cancel()
		if err != nil {
			t.Fatal(err)
		}
		s.Stop()
	}
}
