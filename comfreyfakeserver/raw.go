package comfreyfakeserver

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"

	"comfreyridge.example/comfreyridge/comfreygroup"
)

// Raw is an HTTP server that responds with any bytes to the head of a request, and ends the
// connection in any way. Each connection serves one request, whose body it does not read.
type Raw struct {
	// Respond returns the bytes of the response.
	Respond func(r *http.Request) string
	// End is called once the response has been written, and before the connection is
	// closed; nil does nothing.
	End func(c *net.TCPConn)
}

// Listen serves on a free port of the loopback address until ctx ends, and returns its
// address.
func (s Raw) Listen(ctx context.Context) (address string, err error) {
	l, err := net.ListenTCP("tcp", &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		return "", fmt.Errorf("comfreyfakeserver: %w", err)
	}
	g := comfreygroup.New(ctx)
	g.Go("close", func(ctx context.Context) error {
		<-ctx.Done()
		return l.Close()
	})
	g.Go("accept", func(context.Context) error {
		for {
			c, err := l.AcceptTCP()
			if err != nil {
				return nil // The server ends.
			}
			g.Go("serve", func(context.Context) error {
				s.serve(c)
				return nil
			})
		}
	})
	return l.Addr().String(), nil
}

// serve serves a connection. Its errors are those of a client that has left.
func (s Raw) serve(c *net.TCPConn) {
	defer func() { _ = c.Close() }()
	r, err := http.ReadRequest(bufio.NewReader(c))
	if err != nil {
		return
	}
	_, _ = io.WriteString(c, s.Respond(r))
	if s.End != nil {
		s.End(c)
	}
}

// ReadToEnd is a Raw.End that closes what the server sends, and reads the rest of the
// request.
func ReadToEnd(c *net.TCPConn) {
	_ = c.CloseWrite()
	_, _ = io.Copy(io.Discard, c)
}

// Reset is a Raw.End that resets the connection.
func Reset(c *net.TCPConn) {
	_ = c.SetLinger(0)
}
