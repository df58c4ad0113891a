package comfreysidecar

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"comfreyridge.example/comfreyridge/comfreydecision"
	"comfreyridge.example/comfreyridge/comfreyfleet"
	"comfreyridge.example/comfreyridge/comfreygroup"
	"comfreyridge.example/comfreyridge/comfreyproto"
	"comfreyridge.example/comfreyridge/comfreyquarantine"
	"comfreyridge.example/comfreyridge/comfreyrpc"
	"comfreyridge.example/comfreyridge/comfreyverdict"
)

const (
	// witnessTimeout bounds one call to a witness. If it fails, the sidecar
	// decides by its own crash records.
	witnessTimeout = 100 * time.Millisecond
	// witnessLeaseDuration is how long a lease lasts without a renewal.
	witnessLeaseDuration = time.Minute
	// witnessRenewInterval is how often the leases of running generations are
	// renewed.
	witnessRenewInterval = 20 * time.Second
	// suspectRetryAfter is the retry-after of a request that may not run beside
	// another suspect.
	suspectRetryAfter = 2 * time.Second
	// copyPollInterval and maxCopyPolls bound how long a request waits while
	// copies of it run at other upstreams. A request that crashes upstreams
	// does so during prefill; if there is no crash in that time, the request
	// runs beside its copies.
	copyPollInterval = 100 * time.Millisecond
	maxCopyPolls     = 10
	// maxCompleted bounds the completed requests that a sidecar keeps.
	maxCompleted = 4096
)

// quarantine holds the crash records of a sidecar, the requests in flight at
// its upstream, and the leases that it grants as a witness. The witness of a
// request is the host that grants the lease on its fingerprint; a sidecar asks
// for the lease before it starts the request. quarantine is safe for concurrent
// use.
type quarantine struct {
	now func() time.Time

	mu      sync.Mutex
	table   *comfreyquarantine.Table
	witness *comfreyquarantine.Witness
	// addresses maps the hosts of the service to the addresses of their
	// sidecars; hostNames are the sorted names of these hosts.
	addresses map[string]string
	hostNames []string
	// copies counts the executions in flight of each request at this upstream.
	copies map[comfreyquarantine.Fingerprint]int
	// completed holds requests that have completed here. Their copies need not
	// wait for each other.
	completed map[comfreyquarantine.Fingerprint]struct{}
}

func newQuarantine(host string, i comfreyfleet.Incarnation, now func() time.Time) *quarantine {
	t := comfreyquarantine.NewTable(comfreyquarantine.Config{Host: host, Incarnation: uint64(i)})
	w := comfreyquarantine.NewWitness(comfreyquarantine.WitnessConfig{LeaseDuration: witnessLeaseDuration}, t)
	return &quarantine{now: now, table: t, witness: w, addresses: map[string]string{}, copies: map[comfreyquarantine.Fingerprint]int{}, completed: map[comfreyquarantine.Fingerprint]struct{}{}}
}

// setHosts sets the hosts of the service, from which witnesses are chosen. It
// reports whether they have changed.
func (q *quarantine) setHosts(v comfreyfleet.View, service string) bool {
	a := map[string]string{}
	for _, m := range v.Members() {
		if m.Service == service {
			a[m.Host] = m.Address
		}
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	old := q.hostNames
	q.addresses = a
	q.hostNames = slices.Sorted(maps.Keys(a))
	return !slices.Equal(old, q.hostNames)
}

// witnessOf returns the witness of a request and its address, or empty strings
// if no host is known.
func (q *quarantine) witnessOf(f comfreyquarantine.Fingerprint) (host, address string) {
	s := comfreyquarantine.WitnessHosts(f, q.hosts(), 1)
	if len(s) == 0 {
		return "", ""
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	return s[0], q.addresses[s[0]]
}

// hosts returns the listed hosts of the service, sorted by name.
func (q *quarantine) hosts() []string {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.hostNames
}

// gossipBatch returns crash records to send to another process.
func (q *quarantine) gossipBatch() []*comfreyproto.CrashRecord {
	q.mu.Lock()
	defer q.mu.Unlock()
	now := q.now()
	return comfreyrpc.EncodeCrashRecords(q.table.GossipBatch(now, comfreyrpc.MaxCrashRecords), now)
}

// merge adds crash records received from another process.
func (q *quarantine) merge(s []*comfreyproto.CrashRecord) {
	if len(s) == 0 {
		return
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	now := q.now()
	q.table.Merge(now, comfreyrpc.DecodeCrashRecords(s, now))
}

// handleWitnessEvent handles one event as the witness of a request.
func (q *quarantine) handleWitnessEvent(e comfreyproto.WitnessEvent, f comfreyquarantine.Fingerprint, host string) comfreyquarantine.Decision {
	q.mu.Lock()
	defer q.mu.Unlock()
	now := q.now()
	switch e {
	case comfreyproto.WitnessEvent_WITNESS_EVENT_ASK:
		return q.witness.Acquire(now, f, host)
	case comfreyproto.WitnessEvent_WITNESS_EVENT_RENEW:
		q.witness.Renew(now, f, host)
	default:
		q.witness.Release(now, f, host, e == comfreyproto.WitnessEvent_WITNESS_EVENT_COMPLETED)
	}
	return comfreyquarantine.DecisionAllow
}

// start combines the decision of the witness with that of the sidecar's own
// records, and records the execution if it may start. A request of which a copy
// is in flight here waits, because an engine that the copy crashes may restart
// at once and execute the request again.
func (q *quarantine) start(f comfreyquarantine.Fingerprint, d comfreyquarantine.Decision) (comfreyquarantine.ExecutionID, comfreyquarantine.Decision) {
	q.mu.Lock()
	defer q.mu.Unlock()
	_, completed := q.completed[f]
	if q.copies[f] > 0 && !completed {
		return 0, max(d, comfreyquarantine.DecisionWait)
	}
	return q.startLocked(f, d)
}

// startAlongsideCopies is like start, for a request that has waited for its
// copies long enough.
func (q *quarantine) startAlongsideCopies(f comfreyquarantine.Fingerprint) (comfreyquarantine.ExecutionID, comfreyquarantine.Decision) {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.startLocked(f, comfreyquarantine.DecisionAllow)
}

// startLocked records the execution unless the sidecar's own records forbid it.
// The caller holds q.mu.
func (q *quarantine) startLocked(f comfreyquarantine.Fingerprint, d comfreyquarantine.Decision) (comfreyquarantine.ExecutionID, comfreyquarantine.Decision) {
	now := q.now()
	d = max(d, q.table.Decide(now, f))
	if d == comfreyquarantine.DecisionIsolate {
		d = q.table.DecideIsolation(now, f)
	}
	if d == comfreyquarantine.DecisionIsolate && q.copies[f] > 0 {
		d = comfreyquarantine.DecisionWait
	}
	if d > comfreyquarantine.DecisionIsolate {
		return 0, d
	}
	q.copies[f]++
	return q.table.Start(f, d), d
}

// isSuspect reports whether a request was in flight in a crash of which it has
// not been cleared.
func (q *quarantine) isSuspect(f comfreyquarantine.Fingerprint) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.table.Suspicion(q.now(), f).Crashes > 0
}

// finish records that an execution is no longer in flight.
func (q *quarantine) finish(f comfreyquarantine.Fingerprint, id comfreyquarantine.ExecutionID, completed bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.copies[f]--
	if q.copies[f] <= 0 {
		delete(q.copies, f)
	}
	q.table.Finish(id, completed)
	if !completed {
		return
	}
	if len(q.completed) >= maxCompleted {
		clear(q.completed)
	}
	q.completed[f] = struct{}{}
}

// recordCrash records a crash of the upstream. It reports false if no request
// is in flight, for example because the crash has been recorded already.
func (q *quarantine) recordCrash() (comfreyquarantine.CrashRecord, bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.table.RecordCrash(q.now())
}

// sweep removes expired leases.
func (q *quarantine) sweep() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.witness.Sweep(q.now())
}

// Witness implements the twirp service: it handles an event of another sidecar
// as the witness of a request.
func (s *Sidecar) Witness(_ context.Context, r *comfreyproto.WitnessRequest) (*comfreyproto.WitnessReply, error) {
	s.quarantine.merge(r.Crashes)
	f, ok := comfreyrpc.FingerprintOf(r.Fingerprint)
	if !ok {
		return &comfreyproto.WitnessReply{}, nil
	}
	d := s.quarantine.handleWitnessEvent(r.Event, f, r.Host)
	return &comfreyproto.WitnessReply{Decision: comfreyproto.WitnessDecision(d), Crashes: s.quarantine.gossipBatch()}, nil
}

// callWitness sends one event to the witness of a request. If the call fails it
// returns DecisionAllow, which leaves the decision to the sidecar's own
// records.
func (s *Sidecar) callWitness(ctx context.Context, e comfreyproto.WitnessEvent, f comfreyquarantine.Fingerprint) comfreyquarantine.Decision {
	host, address := s.quarantine.witnessOf(f)
	if host == "" || host == s.config.Host {
		return s.quarantine.handleWitnessEvent(e, f, s.config.Host)
	}
	ctx, cancel := context.WithTimeout(ctx, witnessTimeout)
	defer cancel()
	r, err := s.peers.Sidecar(address).Witness(ctx, &comfreyproto.WitnessRequest{Event: e, Fingerprint: f[:], Host: s.config.Host, Crashes: s.quarantine.gossipBatch()})
	if err != nil {
		s.metrics.witnessFailures.Inc()
		s.recorder.Record("", comfreydecision.KindSuspect, comfreyverdict.ReasonConnectionLost, map[string]any{"fingerprint": f, "witness": host, "event-kind": e.String(), "error": err.Error()})
		return comfreyquarantine.DecisionAllow
	}
	s.quarantine.merge(r.Crashes)
	return comfreyquarantine.Decision(r.Decision)
}

// checkQuarantine decides by the known crashes whether a request may run here,
// and waits for copies of it. The error is a comfreyverdict.Error with verdict
// not-run.
func (s *Sidecar) checkQuarantine(ctx context.Context, g *generation) (comfreyquarantine.ExecutionID, error) {
	id, d := s.acquire(ctx, g)
	for n := 0; n < maxCopyPolls && d == comfreyquarantine.DecisionWait; n++ {
		if !comfreygroup.Sleep(ctx, copyPollInterval) {
			break
		}
		id, d = s.acquire(ctx, g)
	}
	if d == comfreyquarantine.DecisionWait && !s.quarantine.isSuspect(g.fingerprint) {
		id, d = s.quarantine.startAlongsideCopies(g.fingerprint)
	}
	switch d {
	case comfreyquarantine.DecisionAllow:
		return id, nil
	case comfreyquarantine.DecisionIsolate:
		s.recorder.Record(g.request.RequestId, comfreydecision.KindSuspect, comfreyverdict.ReasonAccepted, map[string]any{"fingerprint": g.fingerprint, "decision": d})
		return id, nil
	}
	s.recorder.Record(g.request.RequestId, comfreydecision.KindSuspect, comfreyverdict.ReasonSuspectRequest, map[string]any{"fingerprint": g.fingerprint, "decision": d})
	if d == comfreyquarantine.DecisionWait {
		return 0, comfreyverdict.NotRun(comfreyverdict.ReasonSuspectBusy, "the request may have crashed an upstream, and another such request is running").WithRetryAfter(suspectRetryAfter)
	}
	return 0, comfreyverdict.NotRun(comfreyverdict.ReasonSuspectRequest, "this request has crashed upstreams; change it before sending it again")
}

// acquire asks the witness for a lease and combines its decision with that of
// the sidecar's own records. A lease that these forbid to use is released.
func (s *Sidecar) acquire(ctx context.Context, g *generation) (comfreyquarantine.ExecutionID, comfreyquarantine.Decision) {
	granted := s.callWitness(ctx, comfreyproto.WitnessEvent_WITNESS_EVENT_ASK, g.fingerprint)
	id, d := s.quarantine.start(g.fingerprint, granted)
	if granted <= comfreyquarantine.DecisionIsolate && d > comfreyquarantine.DecisionIsolate {
		s.releaseLease(g.fingerprint, comfreyproto.WitnessEvent_WITNESS_EVENT_FAILED)
	}
	return id, d
}

// releaseLease releases a lease at the witness, which happens in the background.
func (s *Sidecar) releaseLease(f comfreyquarantine.Fingerprint, e comfreyproto.WitnessEvent) {
	s.group.Go("witness", func(ctx context.Context) error {
		s.callWitness(context.WithoutCancel(ctx), e, f)
		return nil
	})
}

// finishExecution ends an execution that checkQuarantine has allowed, and
// releases its lease.
func (s *Sidecar) finishExecution(g *generation, id comfreyquarantine.ExecutionID, err error) {
	if err != nil && comfreyverdict.From(err).Reason == comfreyverdict.ReasonEngineFailed {
		s.recordCrash()
	}
	s.quarantine.finish(g.fingerprint, id, err == nil)
	e := comfreyproto.WitnessEvent_WITNESS_EVENT_COMPLETED
	if err != nil {
		e = comfreyproto.WitnessEvent_WITNESS_EVENT_FAILED
	}
	s.releaseLease(g.fingerprint, e)
}

// recordCrash records a crash of the engine with the requests in flight.
func (s *Sidecar) recordCrash() {
	r, ok := s.quarantine.recordCrash()
	if !ok {
		return
	}
	s.recorder.Record("", comfreydecision.KindSuspect, comfreyverdict.ReasonEngineFailed, map[string]any{"crash": r.Crash.Number, "suspects": len(r.Suspects), "weight": r.Weight()})
}

// renewWitnessLeases removes expired leases that this sidecar has granted and
// renews those of its running generations until ctx is done.
func (s *Sidecar) renewWitnessLeases(ctx context.Context) error {
	t := time.NewTicker(witnessRenewInterval)
	defer t.Stop()
	for {
		select {
		case <-t.C:
		case <-ctx.Done():
			return nil
		}
		s.quarantine.sweep()
		for _, g := range s.table.all() {
			if g.isRunning() {
				s.callWitness(ctx, comfreyproto.WitnessEvent_WITNESS_EVENT_RENEW, g.fingerprint)
			}
		}
	}
}
