package comfreyconfig

import "time"

// maxStartupExchanges is the number of exchanges after which a starting process
// no longer replaces a failed one.
const maxStartupExchanges = 12

// The maximum back-off of a starting process grows with the number of its
// peers.
const (
	startupBackOffPerPeer = 20 * time.Millisecond
	maxStartupBackOff     = 20 * time.Second
)

// startupState is the state of a process during startup, while no revision is
// active. It contacts peers and the platform concurrently and waits for the
// peers, so that a restarted process does not revert to an older revision that
// a stale platform holds.
type startupState struct {
	// deadline is when the platform's revision is accepted without waiting for
	// the peers any longer.
	deadline time.Time
	// openExchanges counts exchanges that have not ended.
	openExchanges int
	// begunExchanges counts exchanges that were started.
	begunExchanges int
	// hostsRead reports that the read of the host list has ended.
	hostsRead bool
}

// beginStartup starts the node: it reads the manifest and the host list and
// exchanges digests with peers.
func (n *Node) beginStartup(now time.Time) []Action {
	n.startup = &startupState{deadline: now.Add(n.config.Timing.CallTimeout)}
	n.nextExchange = now.Add(n.jitter(n.config.Timing.ExchangeInterval))
	n.watchTurn.beginsAt = now.Add(n.jitter(n.config.Timing.RetryInterval))
	a := n.readManifest()
	a = append(a, n.readHosts()...)
	return append(a, n.beginStartupExchanges()...)
}

// beginStartupExchanges starts exchanges with random peers during startup.
func (n *Node) beginStartupExchanges() []Action {
	a := n.exchangeWithRandomPeers()
	n.startup.openExchanges += len(a)
	n.startup.begunExchanges += len(a)
	return a
}

// handleStartupHosts starts exchanges with peers of the host list, which may be
// new to the node.
func (n *Node) handleStartupHosts(now time.Time) []Action {
	if n.startup == nil || n.startup.hostsRead {
		return nil
	}
	n.startup.hostsRead = true
	return append(n.beginStartupExchanges(), n.tickStartup(now)...)
}

// endStartupExchange records the end of an exchange during startup. If it
// failed, another peer is tried.
func (n *Node) endStartupExchange(now time.Time, ok bool) []Action {
	s := n.startup
	if s == nil {
		return nil
	}
	s.openExchanges--
	if !ok && s.begunExchanges < maxStartupExchanges {
		a := n.exchangeWith(n.randomPeer(false))
		s.openExchanges += len(a)
		s.begunExchanges++
		return a
	}
	return n.tickStartup(now)
}

// tickStartup ends startup once all exchanges have ended or the deadline has
// passed.
func (n *Node) tickStartup(now time.Time) []Action {
	s := n.startup
	if s == nil || n.transfer != nil {
		return nil
	}
	if now.Before(s.deadline) && (!s.hostsRead || s.openExchanges > 0) {
		return nil
	}
	n.startup = nil
	if n.pending != nil {
		n.pending.deadline = now.Add(n.startupBackOff())
	}
	return n.tickPending(now)
}

// startupBackOff returns a random wait before a process fetches all content
// from the platform. When a whole fleet starts, a few processes fetch first and
// the others then get the content from them.
func (n *Node) startupBackOff() time.Duration {
	d := min(startupBackOffPerPeer*time.Duration(len(n.peers)), maxStartupBackOff)
	return time.Duration(n.random.Int64N(int64(d) + 1))
}
