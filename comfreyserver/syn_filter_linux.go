package comfreyserver

import (
	"fmt"
	"net"
	"unsafe"

	"golang.org/x/sys/unix"
)

const (
	// tcpFlagsOffset is the offset of the flags in a TCP header (RFC 9293, section 3.1).
	tcpFlagsOffset = 13
	synFlag        = 0x02
)

// dropSYNs attaches a filter to a listener that drops the first packet of each new
// connection. Connections whose handshake has begun can still be accepted. The socket of
// the listener has to be one of TCP, not of Multipath TCP.
func dropSYNs(l *net.TCPListener) error {
	program := []unix.SockFilter{
		{Code: unix.BPF_LD | unix.BPF_B | unix.BPF_ABS, K: tcpFlagsOffset},
		{Code: unix.BPF_JMP | unix.BPF_JSET | unix.BPF_K, Jf: 1, K: synFlag},
		{Code: unix.BPF_RET | unix.BPF_K, K: 0},
		{Code: unix.BPF_RET | unix.BPF_K, K: 1<<32 - 1},
	}
	r, err := l.SyscallConn()
	if err != nil {
		return fmt.Errorf("comfreyserver: expected an open listener: %w", err)
	}
	var attachErr error
	err = r.Control(func(descriptor uintptr) {
		p := &unix.SockFprog{Len: uint16(len(program)), Filter: unsafe.SliceData(program)}
		attachErr = unix.SetsockoptSockFprog(int(descriptor), unix.SOL_SOCKET, unix.SO_ATTACH_FILTER, p)
	})
	if err == nil {
		err = attachErr
	}
	if err != nil {
		return fmt.Errorf("comfreyserver: attaching a filter to a listener: %w", err)
	}
	return nil
}
