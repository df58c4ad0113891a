package comfreyrelay

import (
	"context"
	"net"

	"golang.org/x/time/rate"
)

// Link is a network link that several connections of one host share. It limits
// the rate of all of them together, separately in each direction. It is safe for
// concurrent use.
type Link struct {
	in, out *rate.Limiter
}

// NewLink returns a link with a rate in bytes a second.
func NewLink(bytesPerSecond int) *Link {
	return &Link{
		in:  rate.NewLimiter(rate.Limit(bytesPerSecond), blockBytes),
		out: rate.NewLimiter(rate.Limit(bytesPerSecond), blockBytes),
	}
}

// Conn returns a connection that uses the link.
func (l *Link) Conn(c net.Conn) net.Conn {
	return &linkConn{Conn: c, link: l}
}

// Dial opens a TCP connection that uses the link. It has the signature of
// net.Dialer.DialContext.
func (l *Link) Dial(ctx context.Context, network, address string) (net.Conn, error) {
	c, err := (&net.Dialer{}).DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return l.Conn(c), nil
}

// Listener returns a listener whose connections use the link.
func (l *Link) Listener(n net.Listener) net.Listener {
	return &linkListener{Listener: n, link: l}
}

type linkListener struct {
	net.Listener
	link *Link
}

// Accept implements net.Listener.
func (l *linkListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return l.link.Conn(c), nil
}

type linkConn struct {
	net.Conn
	link *Link
}

// Read implements io.Reader.
func (c *linkConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b[:min(len(b), blockBytes)])
	if n > 0 {
		// The context never ends and n is at most the burst.
		_ = c.link.in.WaitN(context.Background(), n)
	}
	return n, err
}

// Write implements io.Writer.
func (c *linkConn) Write(b []byte) (int, error) {
	sent := 0
	for len(b) > 0 {
		block := b[:min(len(b), blockBytes)]
		_ = c.link.out.WaitN(context.Background(), len(block))
		n, err := c.Conn.Write(block)
		sent += n
		if err != nil {
			return sent, err
		}
		b = b[n:]
	}
	return sent, nil
}
