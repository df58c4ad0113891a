package main

import (
	"fmt"
	"net"
	"os"
	"sync"
)

const (
	// firstPort and lastPort bound the ports that tests listen on. They lie
	// below the range from which the system takes the ports of outgoing
	// connections, so that none of those takes a port between its choice and
	// its use.
	firstPort = 10000
	lastPort  = 32000
)

var (
	portMutex sync.Mutex
	// nextPort differs between test processes that run at the same time.
	nextPort = firstPort + os.Getpid()*97%(lastPort-firstPort)
)

// freePort returns a loopback port on which nothing listens. No two calls of one
// process return the same one until all ports were tried.
func freePort() (int, error) {
	portMutex.Lock()
	defer portMutex.Unlock()
	for range lastPort - firstPort {
		p := nextPort
		nextPort++
		if nextPort >= lastPort {
			nextPort = firstPort
		}
		l, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", p))
		if err != nil {
			continue
		}
		return p, l.Close()
	}
	return 0, fmt.Errorf("no free port from %d to %d", firstPort, lastPort)
}
