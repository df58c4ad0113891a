package comfreyrelay_test

import (
	"bufio"
	"errors"
	"io"
	"net"
	"os"
	"testing"
	"time"

	"comfreyridge.example/comfreyridge/comfreyrelay"
)

// echo serves connections that get back each line that they send.
func echo(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				_, _ = io.Copy(c, c)
			}()
		}
	}()
	return l.Addr().String()
}

func newRelay(t *testing.T) *comfreyrelay.Relay {
	t.Helper()
	r, err := comfreyrelay.New(comfreyrelay.Config{Target: echo(t)})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = r.Close() })
	return r
}

func dial(t *testing.T, r *comfreyrelay.Relay) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp", r.Addr())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	return c
}

// ask sends a line and returns the error of reading it back.
func ask(c net.Conn, wait time.Duration) error {
	_, err := c.Write([]byte("hello\n"))
	if err != nil {
		return err
	}
	_ = c.SetReadDeadline(time.Now().Add(wait))
	_, err = bufio.NewReader(c).ReadString('\n')
	return err
}

// Patience bounds a wait that succeeds; silence is how long a connection that
// must stay silent is watched.
const (
	patience = 10 * time.Second
	silence  = 20 * time.Millisecond
)

func TestFreezeSilencesEstablishedOnly(t *testing.T) {
	for _, d := range []comfreyrelay.Direction{comfreyrelay.DirectionBoth, comfreyrelay.DirectionToTarget, comfreyrelay.DirectionToCaller} {
		for _, m := range []comfreyrelay.Mode{comfreyrelay.ModeDiscard, comfreyrelay.ModeBlock} {
			r := newRelay(t)
			c := dial(t, r)
			if err := ask(c, patience); err != nil {
				t.Fatal(err)
			}
			r.Freeze(d, m)
			if err := ask(c, silence); !errors.Is(err, os.ErrDeadlineExceeded) {
				t.Errorf("direction %d, mode %d: the old connection gives %v", d, m, err)
			}
			if err := ask(dial(t, r), patience); err != nil {
				t.Errorf("direction %d, mode %d: a new connection gives %v", d, m, err)
			}
		}
	}
}

func TestCutEndsEstablishedOnly(t *testing.T) {
	r := newRelay(t)
	c := dial(t, r)
	if err := ask(c, patience); err != nil {
		t.Fatal(err)
	}
	r.Cut()
	if err := ask(c, patience); err == nil || errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("the old connection gives %v", err)
	}
	if err := ask(dial(t, r), patience); err != nil {
		t.Error(err)
	}
}

func TestRefuseAndRestore(t *testing.T) {
	r := newRelay(t)
	r.Refuse()
	if c, err := net.Dial("tcp", r.Addr()); err == nil {
		_ = c.Close()
		t.Error("a connection was taken")
	}
	if err := r.Restore(); err != nil {
		t.Fatal(err)
	}
	if err := ask(dial(t, r), patience); err != nil {
		t.Error(err)
	}
}

func TestCutAfterPassesThatManyBytes(t *testing.T) {
	r := newRelay(t)
	r.CutAfter(comfreyrelay.DirectionToCaller, 3)
	c := dial(t, r)
	if _, err := c.Write([]byte("hello\n")); err != nil {
		t.Fatal(err)
	}
	_ = c.SetReadDeadline(time.Now().Add(patience))
	b, _ := io.ReadAll(c)
	if string(b) != "hel" {
		t.Errorf("%q passed", b)
	}
}
