package comfreyconfig

import "time"

// turnState schedules when a process watches the platform. The processes of a
// data centre take turns at random: each one watches for Timing.WatchTimeout
// out of a period that grows with their number, so that
// Timing.WatchesPerDataCentre of them watch on average. The crash, suspension
// or disconnection of a watching process needs no detection, because others
// watch at the same time and after it.
type turnState struct {
	// beginsAt is when the next turn begins, or when the current one began.
	beginsAt time.Time
	// endsAt is when the current turn ends; zero between turns.
	endsAt time.Time
	// nextCall is when the next watch call of the turn is due.
	nextCall time.Time
	// deadline is when the open call times out; zero if none is open.
	deadline time.Time
	// nextHosts is when the host list is read next during the turn.
	nextHosts time.Time
}

// next returns when the turn next needs a Tick.
func (t *turnState) next() time.Time {
	if t.endsAt.IsZero() {
		return t.beginsAt
	}
	n := t.nextCall
	if !t.deadline.IsZero() {
		n = t.deadline
	}
	if t.nextHosts.Before(n) {
		return t.nextHosts
	}
	return n
}

// endCall records the end of the open call; the turn continues at next.
func (t *turnState) endCall(next time.Time) {
	t.deadline = time.Time{}
	t.nextCall = next
	if !t.endsAt.IsZero() && t.nextCall.After(t.endsAt) {
		t.nextCall = t.endsAt
	}
}

// turnPeriod returns the mean time between the starts of two turns. In a data
// centre of at most 2·WatchesPerDataCentre processes all of them watch all the
// time.
func (n *Node) turnPeriod() time.Duration {
	t := &n.config.Timing
	size := len(n.localPeers) + 1
	if size <= 2*t.WatchesPerDataCentre {
		return t.WatchTimeout
	}
	return t.WatchTimeout * time.Duration(size) / time.Duration(t.WatchesPerDataCentre)
}

// tickWatchTurn returns the actions that are due for the turn. No watch is
// started while a revision is pending.
func (n *Node) tickWatchTurn(now time.Time) []Action {
	t := &n.watchTurn
	if now.Before(t.next()) {
		return nil
	}
	if !t.deadline.IsZero() && !now.Before(t.deadline) {
		n.stats.PlatformFailures++
		t.endCall(now)
	}
	if t.endsAt.IsZero() {
		t.beginsAt, t.nextHosts = now, now
		t.endsAt = now.Add(n.config.Timing.WatchTimeout)
	}
	var a []Action
	if !now.Before(t.nextHosts) {
		a = n.readHosts()
		t.nextHosts = now.Add(n.jitter(n.config.Timing.HostsInterval))
	}
	switch {
	case !t.deadline.IsZero():
		return a // The watch is open.
	case !now.Before(t.endsAt):
		n.scheduleNextTurn(now)
		return a
	case now.Before(t.nextCall):
		return a
	}
	if n.pending != nil {
		t.endCall(now.Add(n.jitter(n.config.Timing.RetryInterval)))
		return a
	}
	w := t.endsAt.Sub(now)
	t.deadline = t.endsAt.Add(n.config.Timing.CallTimeout)
	n.stats.PlatformCalls++
	return append(a, Action{Kind: ActionWatchManifest, After: n.store.Revision().Number, Wait: w})
}

// scheduleNextTurn schedules the next turn.
func (n *Node) scheduleNextTurn(now time.Time) {
	t := &n.watchTurn
	p := n.turnPeriod()
	if p > n.config.Timing.WatchTimeout {
		p = n.jitter(p)
	}
	t.beginsAt = t.beginsAt.Add(p)
	if t.beginsAt.Before(now) {
		t.beginsAt = now
	}
	t.endsAt = time.Time{}
}

// randomizeFirstTurn moves the first turn to a random time within the period,
// so that processes that started together do not watch together.
func (n *Node) randomizeFirstTurn(now time.Time) {
	if !n.watchTurn.endsAt.IsZero() {
		return
	}
	p := n.turnPeriod()
	if p == n.config.Timing.WatchTimeout {
		p = n.config.Timing.HostsInterval // All processes watch all the time.
	}
	n.watchTurn.beginsAt = now.Add(time.Duration(n.random.Int64N(int64(p))))
}

// readHosts returns the action that reads the host list.
func (n *Node) readHosts() []Action {
	n.stats.PlatformCalls++
	return []Action{{Kind: ActionReadHosts, After: n.hosts.Number}}
}
