package comfreyconfig

import "time"

// turn is a process's turn to watch the platform. The processes of a data
// centre take turns at random: each one watches for WatchWait out of a period
// that grows with their number, so that Timing.Watches of them watch on
// average. Nobody has to notice that a watching process died, sleeps or is cut
// off, because others watch beside it and after it.
type turn struct {
	// begins is when the next turn begins, or when the present one began.
	begins time.Time
	// ends is when the present turn ends; zero between turns.
	ends time.Time
	// call is when the next call of the turn is due.
	call time.Time
	// deadline is when the open call counts as lost; zero if none is open.
	deadline time.Time
}

// next returns when the turn needs a Tick.
func (t *turn) next() time.Time {
	switch {
	case !t.deadline.IsZero():
		return t.deadline
	case t.ends.IsZero():
		return t.begins
	default:
		return t.call
	}
}

// answered closes the open call; the turn goes on at next.
func (t *turn) answered(next time.Time) {
	t.deadline = time.Time{}
	t.call = next
	if !t.ends.IsZero() && t.call.After(t.ends) {
		t.call = t.ends
	}
}

// period returns the mean time between the beginnings of two turns. In a data
// centre of few processes all of them watch always.
func (n *Node) period() time.Duration {
	t := &n.config.Timing
	size := len(n.near) + 1
	if size <= 2*t.WatchesPerDataCentre {
		return t.WatchTimeout
	}
	return t.WatchTimeout * time.Duration(size) / time.Duration(t.WatchesPerDataCentre)
}

// tickTurn does what is due for the turn.
func (n *Node) tickTurn(now time.Time) []Action {
	t := &n.turn
	if now.Before(t.next()) {
		return nil
	}
	if !t.deadline.IsZero() {
		n.stats.PlatformFailures++
		t.answered(now)
	}
	var a []Action
	if t.ends.IsZero() {
		t.begins = now
		t.ends = now.Add(n.config.Timing.WatchTimeout)
		a = n.readHosts()
	}
	if !now.Before(t.ends) {
		n.endTurn(now)
		return a
	}
	if n.pending != nil {
		t.answered(now.Add(n.jitter(n.config.Timing.RetryInterval)))
		return a
	}
	w := t.ends.Sub(now)
	t.deadline = t.ends.Add(n.config.Timing.CallTimeout)
	n.stats.PlatformCalls++
	return append(a, Action{Kind: ActionWatchManifest, After: n.store.Revision().Number, Wait: w})
}

// endTurn schedules the next turn.
func (n *Node) endTurn(now time.Time) {
	t := &n.turn
	p := n.period()
	if p > n.config.Timing.WatchTimeout {
		p = n.jitter(p)
	}
	t.begins = t.begins.Add(p)
	if t.begins.Before(now) {
		t.begins = now
	}
	t.ends = time.Time{}
}

// spreadTurns moves the first turn to a random moment of the period, so that
// processes that started together do not watch together.
func (n *Node) spreadTurns(now time.Time) {
	if !n.turn.ends.IsZero() {
		return
	}
	n.turn.begins = now.Add(time.Duration(n.random.Int64N(int64(n.period()))))
}

// readHosts returns the action that reads the host list.
func (n *Node) readHosts() []Action {
	n.stats.PlatformCalls++
	return []Action{{Kind: ActionReadHosts, After: n.hosts.Number}}
}
