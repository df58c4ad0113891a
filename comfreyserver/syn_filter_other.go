//go:build !linux

package comfreyserver

import (
	"errors"
	"net"
)

// dropSYNs is not supported on this system.
func dropSYNs(*net.TCPListener) error {
	return errors.ErrUnsupported
}
