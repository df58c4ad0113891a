package comfreyengine

import (
	"context"
	"errors"
	"net"
	"testing"
)

// pipeConn returns a guarded connection whose peer discards what it receives.
func pipeConn(t *testing.T) *guardedConn {
	t.Helper()
	a, b := net.Pipe()
	t.Cleanup(func() {
		_ = a.Close()
		_ = b.Close()
	})
	dial := dialGuarded(func(context.Context, string, string) (net.Conn, error) { return a, nil })
	c, err := dial(context.Background(), "tcp", "")
	if err != nil {
		t.Fatal(err)
	}
	go func() { _, _ = b.Read(make([]byte, 16)) }()
	return c.(*guardedConn)
}

func TestBlockedRequestWritesNothing(t *testing.T) {
	c, p := pipeConn(t), &writeGuard{}
	c.guard.Store(p)
	if !p.block() {
		t.Error("block reports a write, but nothing was written")
	}
	if _, err := c.Write([]byte("late")); !errors.Is(err, errWriteBlocked) {
		t.Errorf("write after block: got %v, want errWriteBlocked", err)
	}
}

func TestGuardReportsWrittenRequest(t *testing.T) {
	c, p := pipeConn(t), &writeGuard{}
	c.guard.Store(p)
	if _, err := c.Write([]byte("byte")); err != nil {
		t.Fatal(err)
	}
	if p.block() {
		t.Error("block reports no write, but bytes were written")
	}
}

func TestConnectionWithoutGuardBlocksWrites(t *testing.T) {
	if _, err := pipeConn(t).Write([]byte("stray")); !errors.Is(err, errWriteBlocked) {
		t.Errorf("write without a guard: got %v, want errWriteBlocked", err)
	}
}
