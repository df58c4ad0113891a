package comfreyconfig

import "time"

// maxStartTries bounds how many peers a starting process tries to reach.
const maxStartTries = 12

// The back-off of a starting process grows with the number of its peers.
const (
	startBackOffPerPeer = 20 * time.Millisecond
	maxStartBackOff     = 20 * time.Second
)

// start is the state of a process that has nothing in force yet. It asks peers
// and the platform together and waits for the peers, so that a replaced
// process does not fall back to what a stale platform holds.
type start struct {
	// deadline is when the platform's revision is taken without the peers.
	deadline time.Time
	// waiting counts exchanges without an answer.
	waiting int
	// tries counts exchanges that were begun.
	tries int
	// listed says that the host list was answered.
	listed bool
}

// begin starts the node.
func (n *Node) begin(now time.Time) []Action {
	n.start = &start{deadline: now.Add(n.config.Timing.CallTimeout)}
	n.exchange = now.Add(n.jitter(n.config.Timing.ExchangeInterval))
	n.turn.begins = now.Add(n.jitter(n.config.Timing.RetryInterval))
	a := n.readPlatform()
	a = append(a, n.readHosts()...)
	return append(a, n.askPeers()...)
}

// askPeers exchanges with random peers while the node starts.
func (n *Node) askPeers() []Action {
	a := n.spread()
	n.start.waiting += len(a)
	n.start.tries += len(a)
	return a
}

// startListed asks the peers of the host list, which the node may not have
// known before.
func (n *Node) startListed(now time.Time) []Action {
	if n.start == nil || n.start.listed {
		return nil
	}
	n.start.listed = true
	return append(n.askPeers(), n.tickStart(now)...)
}

// startAnswered counts an exchange that ended. For one that failed another
// peer is asked.
func (n *Node) startAnswered(now time.Time, ok bool) []Action {
	s := n.start
	if s == nil {
		return nil
	}
	s.waiting--
	if !ok && s.tries < maxStartTries {
		a := n.exchangeWith(n.pick(false))
		s.waiting += len(a)
		s.tries++
		return a
	}
	return n.tickStart(now)
}

// tickStart ends the start once nothing newer can be expected from peers.
func (n *Node) tickStart(now time.Time) []Action {
	s := n.start
	if s == nil || n.transfer != nil {
		return nil
	}
	if now.Before(s.deadline) && (!s.listed || s.waiting > 0) {
		return nil
	}
	n.start = nil
	if n.pending != nil {
		n.pending.deadline = now.Add(n.startBackOff())
	}
	return n.tickPending(now)
}

// startBackOff returns how long a process waits for peers before it fetches
// all content from the platform. When a whole fleet starts, a few processes
// fetch first and the others then take the content from them.
func (n *Node) startBackOff() time.Duration {
	d := min(startBackOffPerPeer*time.Duration(len(n.peers)), maxStartBackOff)
	return time.Duration(n.random.Int64N(int64(d) + 1))
}
