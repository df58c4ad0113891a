package comfreyengine

import (
	"context"
	"errors"
	"net"
	"testing"
)

// pipeConn returns a proved connection whose other end is discarded.
func pipeConn(t *testing.T) *provedConn {
	t.Helper()
	a, b := net.Pipe()
	t.Cleanup(func() {
		_ = a.Close()
		_ = b.Close()
	})
	dial := dialProved(func(context.Context, string, string) (net.Conn, error) { return a, nil })
	c, err := dial(context.Background(), "tcp", "")
	if err != nil {
		t.Fatal(err)
	}
	go func() { _, _ = b.Read(make([]byte, 16)) }()
	return c.(*provedConn)
}

func TestFencedRequestWritesNothing(t *testing.T) {
	c, p := pipeConn(t), &proof{}
	c.proof.Store(p)
	if !p.fence() {
		t.Error("nothing was written, yet the proof fails")
	}
	if _, err := c.Write([]byte("late")); !errors.Is(err, errFenced) {
		t.Errorf("a late write gives %v", err)
	}
}

func TestWrittenRequestHasNoProof(t *testing.T) {
	c, p := pipeConn(t), &proof{}
	c.proof.Store(p)
	if _, err := c.Write([]byte("byte")); err != nil {
		t.Fatal(err)
	}
	if p.fence() {
		t.Error("bytes were written, yet the proof holds")
	}
}

func TestConnectionOfNoRequestWritesNothing(t *testing.T) {
	if _, err := pipeConn(t).Write([]byte("stray")); !errors.Is(err, errFenced) {
		t.Errorf("a stray write gives %v", err)
	}
}
