package comfreyrelay_test

import (
	"io"
	"net"
	"testing"
	"time"

	"comfreyridge.example/comfreyridge/comfreyrelay"
)

// TestConnectionsShareTheLink checks that two connections together are limited to
// the rate of their link.
func TestConnectionsShareTheLink(t *testing.T) {
	const rate, size = 1 << 20, 128 << 10
	l := comfreyrelay.NewLink(rate)
	started := time.Now()
	done := make(chan error, 2)
	for range 2 {
		a, b := net.Pipe()
		t.Cleanup(func() { _, _ = a.Close(), b.Close() })
		go func() {
			_, err := l.Conn(a).Write(make([]byte, size))
			done <- err
		}()
		go func() { _, _ = io.Copy(io.Discard, b) }()
	}
	for range 2 {
		if err := <-done; err != nil {
			t.Fatal(err)
		}
	}
	// The burst of 16 KiB passes at once.
	if took, want := time.Since(started), 2*size*time.Second/rate; took < want*9/10 {
		t.Errorf("transfer of %d bytes: expected at least %v, got %v", 2*size, want*9/10, took)
	}
}
