package comfreyload

import (
	"context"
	"strings"
	"testing"
)

// TestOnlyLoopbackIsDialled covers the addresses that a redirect may name.
func TestOnlyLoopbackIsDialled(t *testing.T) {
	_, err := newLoad(Options{}).transport.DialContext(context.Background(), "tcp", "192.0.2.1:80")
	if err == nil || !strings.Contains(err.Error(), "not a loopback address") {
		t.Errorf("dialling gives %v", err)
	}
}
