package comfreyforward

import (
	"net"
	"net/http"
	"sync"
	"syscall"

	"golang.org/x/sys/unix"
)

// idleConnections are the connections of a server that have no request. The zero value
// has none. It is safe for concurrent use.
type idleConnections struct {
	mu          sync.Mutex
	connections map[net.Conn]struct{}
}

// observe records the state of a connection, as http.Server.ConnState.
func (i *idleConnections) observe(c net.Conn, s http.ConnState) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if s != http.StateIdle {
		delete(i.connections, c)
		return
	}
	if i.connections == nil {
		i.connections = map[net.Conn]struct{}{}
	}
	i.connections[c] = struct{}{}
}

// closeUnused closes the idle connections, except for those on which a request has arrived
// that the server has not read yet. It returns how many these are.
//
// It is built for this load: callers reuse their connections while a gateway with a small
// share of a core stops. A connection that is closed under a request loses it, and the
// request may run.
func (i *idleConnections) closeUnused() (used int) {
	i.mu.Lock()
	defer i.mu.Unlock()
	for c := range i.connections {
		if k, ok := c.(syscall.Conn); ok && isReadable(k) {
			used++
			continue
		}
		_ = c.Close() // The server finds out.
	}
	return used
}

// isReadable reports whether bytes, or the end, have arrived on a connection, or whether a
// connection is in the queue of a listener.
func isReadable(c syscall.Conn) bool {
	r, err := c.SyscallConn()
	if err != nil {
		return false
	}
	n := 0
	err = r.Control(func(descriptor uintptr) {
		n, _ = unix.Poll([]unix.PollFd{{Fd: int32(descriptor), Events: unix.POLLIN}}, 0) // A signal may interrupt it.
	})
	return err == nil && n > 0
}
