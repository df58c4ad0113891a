package main

import (
	"bytes"
	"fmt"
	"os"
	"os/exec"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"
)

// liveLimit bounds how long a test waits for something that has to happen.
const liveLimit = 60 * time.Second

// processLog keeps what a process wrote. It is safe for concurrent use.
type processLog struct {
	mu sync.Mutex
	b  bytes.Buffer
}

func (l *processLog) Write(b []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.Write(b)
}

func (l *processLog) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.String()
}

// node is one process of a fleet, which may live several times at the same
// addresses.
type node struct {
	name string
	// url is where the node answers callers or, for a sidecar, gateways.
	url string
	// admin is the operators' address of gateways and sidecars.
	admin string
	args  []string
	env   []string
	log   *processLog

	cmd  *exec.Cmd
	done chan struct{}
}

// start begins a life of the node with further arguments.
func (n *node) start(t testing.TB, more ...string) {
	t.Helper()
	n.cmd = exec.Command("comfreyridge", append(append([]string{}, n.args...), more...)...)
	n.cmd.Env = append(os.Environ(), n.env...)
	n.cmd.Stderr = n.log
	n.cmd.Stdout = n.log
	if err := n.cmd.Start(); err != nil {
		t.Fatal(err)
	}
	c, done := n.cmd, make(chan struct{})
	n.done = done
	go func() {
		_ = c.Wait()
		close(done)
	}()
}

// signal sends a signal to the present life.
func (n *node) signal(t testing.TB, s syscall.Signal) {
	t.Helper()
	if err := n.cmd.Process.Signal(s); err != nil {
		t.Errorf("%s: %s: %v", n.name, s, err)
	}
}

// kill ends the present life without notice and waits for its end.
func (n *node) kill(t testing.TB) {
	t.Helper()
	n.signal(t, syscall.SIGKILL)
	<-n.done
}

// waitExit waits for the end of a planned stop and returns the exit code.
func (n *node) waitExit(t testing.TB) int {
	t.Helper()
	select {
	case <-n.done:
	case <-time.After(liveLimit):
		t.Fatalf("%s did not stop", n.name)
	}
	return n.cmd.ProcessState.ExitCode()
}

// loggedBytes is how much of its log a node of a failed test shows.
const loggedBytes = 30_000

// end stops what is left of the node when its test is over, and reports what
// must never stand in a log.
func (n *node) end(t testing.TB) {
	if n.cmd != nil {
		_ = n.cmd.Process.Kill()
		<-n.done
	}
	s := n.log.String()
	for _, bad := range []string{"panic:", "invariant", "DATA RACE", processKey, callerKey} {
		if i := strings.Index(s, bad); i >= 0 {
			t.Errorf("%s logged %q: %.1500s", n.name, bad, s[i:])
		}
	}
	if t.Failed() {
		t.Logf("%s, end of the log:\n%s", n.name, s[max(0, len(s)-loggedBytes):])
	}
}

// freeAddresses returns loopback addresses that nobody listens on.
func freeAddresses(t testing.TB, count int) []string {
	t.Helper()
	var s []string
	for range count {
		p, err := freePort()
		if err != nil {
			t.Fatal(err)
		}
		s = append(s, fmt.Sprintf("127.0.0.1:%d", p))
	}
	return s
}

// eventually waits until f holds.
func eventually(t testing.TB, what string, f func() bool) {
	t.Helper()
	end := time.Now().Add(liveLimit)
	for !f() {
		if time.Now().After(end) {
			t.Fatalf("never came: %s", what)
		}
		time.Sleep(10 * time.Millisecond)
	}
}
