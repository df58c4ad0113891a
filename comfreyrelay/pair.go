package comfreyrelay

import (
	"net"
	"sync"
	"time"
)

// blockBytes is how much the relay forwards at a time.
const blockBytes = 16 << 10

// pair is one forwarded connection.
type pair struct {
	caller net.Conn
	target net.Conn
	faults faults
	done   chan struct{}

	mu     sync.Mutex
	frozen map[Direction]Mode
	ended  int
	closed bool
}

func newPair(caller, target net.Conn, f faults) *pair {
	return &pair{
		caller: caller,
		target: target,
		faults: f,
		done:   make(chan struct{}),
		frozen: make(map[Direction]Mode),
	}
}

// freeze silences the pair in the given direction.
func (p *pair) freeze(d Direction, m Mode) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, s := range []Direction{DirectionToTarget, DirectionToCaller} {
		if d.covers(s) {
			p.frozen[s] = m
		}
	}
}

// mode returns how the direction is silenced, if it is.
func (p *pair) mode(d Direction) (Mode, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	m, ok := p.frozen[d]
	return m, ok
}

// close closes both connections.
func (p *pair) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return
	}
	p.closed = true
	_ = p.caller.Close()
	_ = p.target.Close()
	close(p.done)
}

// end passes on the end of one direction. The pair closes when both have ended.
func (p *pair) end(to net.Conn) {
	p.mu.Lock()
	p.ended++
	both := p.ended == 2
	p.mu.Unlock()
	if both {
		p.close()
		return
	}
	if t, ok := to.(*net.TCPConn); ok {
		_ = t.CloseWrite()
	}
}

// pump forwards one direction until it ends.
func (p *pair) pump(d Direction) {
	from, to := p.caller, p.target
	if d == DirectionToCaller {
		from, to = to, from
	}
	left := p.limit(d)
	b := make([]byte, blockBytes)
	for left > 0 {
		n, err := from.Read(b[:min(len(b), left)])
		if m, ok := p.mode(d); ok {
			if m == ModeBlock || err != nil {
				<-p.done
				return
			}
			continue
		}
		if err != nil {
			p.end(to)
			return
		}
		if !p.forward(to, b[:n]) {
			p.close()
			return
		}
		left -= n
	}
	p.close()
}

// forward writes b after the delay. It reports false if the pair is closed.
func (p *pair) forward(to net.Conn, b []byte) bool {
	if p.faults.delay > 0 {
		t := time.NewTimer(p.faults.delay)
		defer t.Stop()
		select {
		case <-t.C:
		case <-p.done:
			return false
		}
	}
	_, err := to.Write(b)
	return err == nil
}

// noLimit is more than any connection forwards.
const noLimit = 1 << 62

// limit returns how many bytes may pass in direction d.
func (p *pair) limit(d Direction) int {
	c := p.faults.cut
	if c == nil || c.direction != d {
		return noLimit
	}
	return c.bytes
}
