package comfreyforward

import (
	"context"
	"errors"
	"syscall"
	"time"

	"comfreyridge.example/comfreyridge/comfreydecision"
	"comfreyridge.example/comfreyridge/comfreygroup"
	"comfreyridge.example/comfreyridge/comfreyplacement"
	"comfreyridge.example/comfreyridge/comfreyquarantine"
	"comfreyridge.example/comfreyridge/comfreyreplica"
	"comfreyridge.example/comfreyridge/comfreyverdict"
)

const (
	// crashCheckDelay is how long after a broken connection the replica is dialed.
	// The other connections of a process that has crashed break meanwhile.
	crashCheckDelay = 30 * time.Millisecond
	// maxCrashCheckDelay bounds the delay, which doubles, before a replica is dialed
	// again at which other requests were in flight.
	maxCrashCheckDelay = time.Second
	// crashCheckTimeout bounds that dial. A host that does not respond is no
	// evidence.
	crashCheckTimeout = 300 * time.Millisecond
	// crashRecordsPerMessage bounds the crash records that are sent at a time.
	crashRecordsPerMessage = 4
	// crashRecordPushes is how often a gateway sends a record to the others.
	crashRecordPushes = 4
)

// newQuarantine returns the table of the crashes that this gateway knows.
func newQuarantine(c Config) *comfreyquarantine.Table {
	return comfreyquarantine.NewTable(comfreyquarantine.Config{Host: c.Address, MaxPushes: crashRecordPushes})
}

// finishWork records that the response to an attempt has begun, or that the
// attempt has failed. One that was not sent ends here.
func (g *Gateway) finishWork(c comfreyplacement.Candidate, failed bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.replicas.EndWork(g.config.Now(), c.ID, failed)
}

// observeResponding records that the replica of the current attempt of a request responds.
func (g *Gateway) observeResponding(x *exchange) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.observer.RecordResponse(g.config.Now(), x.execution)
}

// upstream returns the present start of a replica. The mutex must be held.
func (g *Gateway) upstream(replica string) comfreyquarantine.Upstream {
	r, _ := g.replicas.Get(replica)
	return upstreamOf(replica, r)
}

func upstreamOf(replica string, r comfreyreplica.Replica) comfreyquarantine.Upstream {
	return comfreyquarantine.Upstream{ID: replica, Incarnation: uint64(max(r.StartMillis, 0))}
}

// loseAttempt records that the current attempt has ended with an error before the response
// was complete, and finds out whether the replica has crashed.
func (g *Gateway) loseAttempt(x *exchange, c comfreyplacement.Candidate, err error) {
	g.mu.Lock()
	now := g.config.Now()
	u, ok := g.observer.Upstream(x.execution)
	if !ok {
		g.mu.Unlock()
		return
	}
	r, isKnown := g.observer.Lose(now, x.execution)
	g.record(x.call.ID, comfreydecision.KindSuspect, reasonOf(err, comfreyverdict.ReasonConnectionLost), map[string]any{
		"features": loggedFeatures(x.features), "parts": loggedParts(x.call.PromptParts), "replica": u.ID, "crash-known": isKnown,
	})
	mustCheck := !isKnown && now.Sub(g.crashCheckedAt[u]) > crashCheckTimeout
	if mustCheck {
		g.crashCheckedAt[u] = now
	}
	g.mu.Unlock()
	if isKnown {
		g.addCrashRecord(r, evidenceEarlier)
	}
	if mustCheck {
		g.config.Group.Go("crash check", func(ctx context.Context) error {
			g.checkCrashed(ctx, u, c)
			return nil
		})
	}
}

// The evidence of a crash, as the log names it.
const (
	// evidenceDial means that the replica refuses connections.
	evidenceDial = "dial"
	// evidenceRegistration means that its registration was removed without notice.
	evidenceRegistration = "registration"
	// evidenceRestart means that it has started again.
	evidenceRestart = "restart"
	// evidenceSilence means that it has been silent since its registration was removed.
	evidenceSilence = "silence"
	// evidenceEarlier means that the crash was known before the loss of a request there.
	evidenceEarlier = "earlier"
)

// checkCrashed dials a replica that has broken a connection. One that refuses it,
// and has no other request of this gateway in flight, has ended. While there are
// others, which break a little later, it is dialed again.
func (g *Gateway) checkCrashed(ctx context.Context, u comfreyquarantine.Upstream, c comfreyplacement.Candidate) {
	for delay := crashCheckDelay; delay <= maxCrashCheckDelay; delay *= 2 {
		if !comfreygroup.Sleep(ctx, delay) || !g.refusesDial(ctx, c.Address) || g.observeEnd(u, evidenceDial) {
			return
		}
	}
}

// refusesDial reports whether no process listens at an address.
func (g *Gateway) refusesDial(ctx context.Context, address string) bool {
	ctx, cancel := context.WithTimeout(ctx, crashCheckTimeout)
	defer cancel()
	return isRefused(g.config.Pool.Dial(ctx, address))
}

// isRefused reports whether the host responded that no process listens.
func isRefused(err error) bool {
	return errors.Is(err, syscall.ECONNREFUSED) || errors.Is(err, syscall.ECONNRESET)
}

// observeDialRefused handles a refused dial on the way of a request. Only a replica
// at which requests were lost is of interest.
func (g *Gateway) observeDialRefused(c comfreyplacement.Candidate) {
	g.mu.Lock()
	u := g.upstream(c.ID)
	hasLosses := g.observer.HasLosses(u)
	g.mu.Unlock()
	if hasLosses {
		g.observeEnd(u, evidenceDial)
	}
}

// observeEnd handles evidence that a replica has ended. One that had announced it
// has not crashed. It reports false if the evidence has to be looked for again,
// since other requests of this gateway are in flight there.
func (g *Gateway) observeEnd(u comfreyquarantine.Upstream, evidence string) bool {
	g.mu.Lock()
	r, ok := g.replicas.Get(u.ID)
	isPlanned := ok && upstreamOf(u.ID, r) == u && r.State == comfreyreplica.StateLeaving && !r.IsRemoved
	isBusy := g.observer.HasInFlight(u)
	if isBusy && !isPlanned && evidence == evidenceRegistration {
		g.observer.Remove(g.config.Now(), u)
	}
	if isPlanned || isBusy {
		hasLosses := g.observer.HasLosses(u)
		g.mu.Unlock()
		if hasLosses {
			g.record("", comfreydecision.KindSuspect, comfreyverdict.ReasonConnectionLost, map[string]any{
				"replica": u.ID, "evidence": evidence, "planned": isPlanned, "in-flight": isBusy,
			})
		}
		return isPlanned
	}
	c, ok := g.observer.Crash(g.config.Now(), u)
	g.mu.Unlock()
	if ok {
		g.addCrashRecord(c, evidence)
	}
	return true
}

// observeRegistration handles a changed registration: one that was removed without
// notice, announces the end of its replica, or belongs to a later start of it.
func (g *Gateway) observeRegistration(c comfreyreplica.Change) {
	r := c.Replica
	u := upstreamOf(r.ID, r)
	switch {
	case r.IsRemoved:
		g.observeEnd(u, evidenceRegistration)
		return
	case r.State == comfreyreplica.StateLeaving:
		g.mu.Lock()
		g.observer.Leave(g.config.Now(), u)
		g.mu.Unlock()
	case r.State == comfreyreplica.StateReady:
		g.retractCrash(u)
	}
	if !c.IsRestarted {
		return
	}
	g.mu.Lock()
	g.health.Forget(r.ID)
	l := g.observer.Restart(g.config.Now(), u)
	g.mu.Unlock()
	for _, e := range l {
		g.addCrashRecord(e, evidenceRestart)
	}
}

// retractCrash clears what was in flight at a replica that counts as crashed and is registered
// with the same start: it was only cut off for a time.
func (g *Gateway) retractCrash(u comfreyquarantine.Upstream) {
	g.mu.Lock()
	isRetracted := g.observer.RecordRegistered(u) && g.quarantine.Retract(comfreyquarantine.CrashID{Host: u.ID, Incarnation: u.Incarnation, Number: 1})
	g.mu.Unlock()
	if isRetracted {
		g.record("", comfreydecision.KindUpstream, comfreyverdict.ReasonAccepted, map[string]any{"replica": u.ID, "born": u.Incarnation, "state": "not-crashed"})
		g.config.TriggerGossip()
	}
}

// addSilentCrashes adds the records of replicas that were removed without notice and have
// been silent since.
func (g *Gateway) addSilentCrashes() {
	g.mu.Lock()
	l := g.observer.SilentCrashes(g.config.Now())
	g.mu.Unlock()
	for _, r := range l {
		g.addCrashRecord(r, evidenceSilence)
	}
}

// shareSilentLosses sends the other gateways what has no response here, since this gateway
// ends before the crash of its replica may be known.
func (g *Gateway) shareSilentLosses() {
	g.mu.Lock()
	l := g.observer.Silent(g.config.Now())
	g.mu.Unlock()
	if len(l) > 0 {
		g.config.ShareSilentLosses(l)
	}
}

// MergeSilentLosses adds what has no response at another gateway, which has ended.
func (g *Gateway) MergeSilentLosses(l []comfreyquarantine.CrashRecord) {
	g.mu.Lock()
	crashes := g.observer.MergeSilent(g.config.Now(), l)
	g.mu.Unlock()
	for _, r := range crashes {
		g.addCrashRecord(r, evidenceEarlier)
	}
}

// addCrashRecord adds the record of a crash that this gateway has observed, and
// sends it to the other gateways.
func (g *Gateway) addCrashRecord(r comfreyquarantine.CrashRecord, evidence string) {
	g.mu.Lock()
	now := g.config.Now()
	g.quarantine.Merge(now, []comfreyquarantine.CrashRecord{r})
	g.cancelSuspects(now)
	most := 0
	var features []comfreyquarantine.Fingerprint
	for _, s := range r.Suspects {
		features = append(features, s.Fingerprint)
		most = max(most, g.quarantine.Suspicion(now, s.Fingerprint).Crashes)
	}
	g.mu.Unlock()
	g.record("", comfreydecision.KindUpstream, comfreyverdict.ReasonEngineFailed, map[string]any{
		"replica": r.Crash.Host, "born": r.Crash.Incarnation, "state": "crashed", "evidence": evidence, "suspects": len(r.Suspects), "most-crashes": most,
		"features": loggedFeatures(features),
	})
	g.config.TriggerGossip()
}

// CrashRecords returns the crash records to send to the other gateways now.
func (g *Gateway) CrashRecords() []comfreyquarantine.CrashRecord {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.quarantine.GossipBatch(g.config.Now(), crashRecordsPerMessage)
}

// RepeatedSuspects returns the crash records that a gateway needs which was not
// running when they were sent; see comfreyquarantine.Table.
func (g *Gateway) RepeatedSuspects() []comfreyquarantine.CrashRecord {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.quarantine.RepeatedSuspects(g.config.Now())
}

// MergeCrashRecords adds crash records of another gateway.
func (g *Gateway) MergeCrashRecords(l []comfreyquarantine.CrashRecord) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.config.Now()
	if g.quarantine.Merge(now, g.observer.WithRuns(l)) > 0 {
		g.cancelSuspects(now)
	}
}
