package twice

import (
	"fmt"
	"net"
	"os"
	"os/signal"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// env is what a case runs in.
type env struct {
	repository string
	// folder is temporary.
	folder string
	// hasTrouble is false if the case runs without its disruption.
	hasTrouble bool
	began      time.Time
	gateways   []*gateway
	closers    []func()

	mu     sync.Mutex
	record *os.File
}

func newEnv(repository, record string) (*env, error) {
	f, err := os.Create(record)
	if err != nil {
		return nil, err
	}
	folder, err := os.MkdirTemp("", "review-3-")
	if err != nil {
		return nil, err
	}
	e := &env{repository: repository, folder: folder, hasTrouble: os.Getenv("TROUBLE") != "0", began: time.Now(), record: f}
	e.logf("case", "disruption: %t", e.hasTrouble)
	go e.endEarly()
	return e, nil
}

// maxDuration is how long a case may take.
const maxDuration = 110 * time.Second

// endEarly ends the case if it takes too long or is interrupted.
func (e *env) endEarly() {
	s := make(chan os.Signal, 1)
	signal.Notify(s, os.Interrupt, syscall.SIGTERM)
	select {
	case <-time.After(maxDuration):
	case <-s:
	}
	e.logf("case", "could not run to its end")
	e.close()
	os.Exit(exitNotRun)
}

// requireDescriptors returns an error if the process may not open a number of sockets.
func requireDescriptors(n uint64) error {
	var l syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &l); err != nil {
		return err
	}
	if l.Max < n {
		return fmt.Errorf("the case needs %d descriptors, and the limit is %d", n, l.Max)
	}
	return nil
}

// close ends all processes and servers that the case has started.
func (e *env) close() {
	for _, g := range e.gateways {
		g.kill()
	}
	for _, f := range e.closers {
		f()
	}
	_ = os.RemoveAll(e.folder)
	_ = e.record.Close()
}

// since returns the time since the case began, for records.
func (e *env) since(t time.Time) float64 {
	return t.Sub(e.began).Seconds()
}

// logf writes a line to the record.
func (e *env) logf(who, format string, a ...any) {
	e.mu.Lock()
	defer e.mu.Unlock()
	_, _ = fmt.Fprintf(e.record, "%8.3f %-10s %s\n", e.since(time.Now()), who, fmt.Sprintf(format, a...))
}

// listen opens a listener on a free loopback port.
func listen() (net.Listener, error) {
	return net.Listen("tcp", "127.0.0.1:0")
}

// freePorts returns a number of free ports.
func freePorts(n int) ([]int, error) {
	var ports []int
	for range n {
		l, err := listen()
		if err != nil {
			return nil, err
		}
		defer func() { _ = l.Close() }()
		ports = append(ports, l.Addr().(*net.TCPAddr).Port)
	}
	return ports, nil
}

// path returns the path of a file in the temporary folder.
func (e *env) path(name string) string {
	return filepath.Join(e.folder, name)
}
