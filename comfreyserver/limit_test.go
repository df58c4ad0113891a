package comfreyserver

import (
	"net"
	"testing"
	"time"
)

func TestConnectionsAboveLimitWait(t *testing.T) {
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	l := newLimitedListener(inner, 2)
	accepted := make(chan net.Conn, 4)
	ended := make(chan error, 1)
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				ended <- err
				return
			}
			accepted <- c
		}
	}()
	for range 3 {
		c, err := net.Dial("tcp", inner.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = c.Close() }()
	}
	first := <-accepted
	<-accepted
	select {
	case <-accepted:
		t.Fatal("a third connection was accepted above the limit of 2")
	case <-time.After(30 * time.Millisecond):
	}
	_ = first.Close()
	_ = first.Close() // A second close must not free another slot.
	<-accepted
	if err := l.Close(); err != nil {
		t.Fatal(err)
	}
	<-ended
}
