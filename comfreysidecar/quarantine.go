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
	// witnessTimeout bounds a question to a witness. Without an answer the
	// sidecar decides by its own records.
	witnessTimeout = 100 * time.Millisecond
	// witnessLease is how long a run counts as open without a renewal.
	witnessLease = time.Minute
	// witnessRenewal is how often a run is renewed.
	witnessRenewal = 20 * time.Second
	// suspectRetry is when a caller may send a request again that may not run
	// beside another suspect.
	suspectRetry = 2 * time.Second
	// copyPoll and copyPolls bound the wait of a copy of a request that runs at
	// other upstreams. A request that crashes upstreams does so while its prompt
	// is computed; without a crash in that time the copy runs beside the others.
	copyPoll  = 100 * time.Millisecond
	copyPolls = 10
	// maxHarmless bounds the completed requests that a sidecar remembers.
	maxHarmless = 4096
)

// quarantine holds what a sidecar knows of requests that crash upstreams. It is
// safe for concurrent use.
type quarantine struct {
	now func() time.Time

	mu      sync.Mutex
	table   *comfreyquarantine.Table
	witness *comfreyquarantine.Witness
	// addresses are the sidecars of the service by host; names are the hosts.
	addresses map[string]string
	names     []string
	// copies counts the runs of each request at this upstream.
	copies map[comfreyquarantine.Fingerprint]int
	// harmless holds requests that have completed here. Their copies need not
	// wait for each other.
	harmless map[comfreyquarantine.Fingerprint]struct{}
}

func newQuarantine(host string, i comfreyfleet.Incarnation, now func() time.Time) *quarantine {
	t := comfreyquarantine.NewTable(comfreyquarantine.Config{Host: host, Incarnation: uint64(i)})
	w := comfreyquarantine.NewWitness(comfreyquarantine.WitnessConfig{LeaseDuration: witnessLease}, t)
	return &quarantine{now: now, table: t, witness: w, addresses: map[string]string{}, copies: map[comfreyquarantine.Fingerprint]int{}, harmless: map[comfreyquarantine.Fingerprint]struct{}{}}
}

// list takes the hosts of the service from which witnesses are chosen.
func (q *quarantine) list(v comfreyfleet.View, service string) {
	a := map[string]string{}
	for _, m := range v.Members() {
		if m.Service == service {
			a[m.Host] = m.Address
		}
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	q.addresses = a
	q.names = slices.Sorted(maps.Keys(a))
}

// witnessOf returns the host that witnesses a request and its address.
func (q *quarantine) witnessOf(f comfreyquarantine.Fingerprint) (host, address string) {
	s := comfreyquarantine.WitnessHosts(f, q.hosts(), 1)
	if len(s) == 0 {
		return "", ""
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	return s[0], q.addresses[s[0]]
}

// hosts returns the listed hosts of the service, in the order of their names.
func (q *quarantine) hosts() []string {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.names
}

// export returns records to pass on.
func (q *quarantine) export() []*comfreyproto.CrashRecord {
	q.mu.Lock()
	defer q.mu.Unlock()
	now := q.now()
	return comfreyrpc.EncodeCrashRecords(q.table.GossipBatch(now, comfreyrpc.MaxCrashRecords), now)
}

// merge takes the records of another process.
func (q *quarantine) merge(s []*comfreyproto.CrashRecord) {
	if len(s) == 0 {
		return
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	now := q.now()
	q.table.Merge(now, comfreyrpc.DecodeCrashRecords(s, now))
}

// serve takes one event as the witness of a request.
func (q *quarantine) serve(e comfreyproto.WitnessEvent, f comfreyquarantine.Fingerprint, host string) comfreyquarantine.Decision {
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

// start joins the witness's decision with the sidecar's own and notes the run
// if it may begin. A request of which a copy runs here waits, because an engine
// that the copy crashes may restart at once and run it again.
func (q *quarantine) start(f comfreyquarantine.Fingerprint, d comfreyquarantine.Decision) (comfreyquarantine.ExecutionID, comfreyquarantine.Decision) {
	q.mu.Lock()
	defer q.mu.Unlock()
	_, harmless := q.harmless[f]
	if q.copies[f] > 0 && !harmless {
		return 0, max(d, comfreyquarantine.DecisionWait)
	}
	return q.admit(f, d)
}

// startBeside is start for a request that has waited for its copies.
func (q *quarantine) startBeside(f comfreyquarantine.Fingerprint) (comfreyquarantine.ExecutionID, comfreyquarantine.Decision) {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.admit(f, comfreyquarantine.DecisionAllow)
}

// admit notes the run unless the sidecar's own records forbid it. The caller
// holds the lock.
func (q *quarantine) admit(f comfreyquarantine.Fingerprint, d comfreyquarantine.Decision) (comfreyquarantine.ExecutionID, comfreyquarantine.Decision) {
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

// isSuspected reports whether a request was in flight in a crash that it is not
// cleared of.
func (q *quarantine) isSuspected(f comfreyquarantine.Fingerprint) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.table.Suspicion(q.now(), f).Crashes > 0
}

// finish notes that a run has left the upstream.
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
	if len(q.harmless) >= maxHarmless {
		clear(q.harmless)
	}
	q.harmless[f] = struct{}{}
}

// crash notes that the upstream died. It reports false if the crash was noted
// before.
func (q *quarantine) crash() (comfreyquarantine.CrashRecord, bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.table.RecordCrash(q.now())
}

// sweep forgets the leases that were not renewed.
func (q *quarantine) sweep() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.witness.Sweep(q.now())
}

// Witness implements the twirp service.
func (s *Sidecar) Witness(_ context.Context, r *comfreyproto.WitnessRequest) (*comfreyproto.WitnessReply, error) {
	s.quarantine.merge(r.Crashes)
	f, ok := comfreyrpc.FingerprintOf(r.Fingerprint)
	if !ok {
		return &comfreyproto.WitnessReply{}, nil
	}
	d := s.quarantine.serve(r.Event, f, r.Host)
	return &comfreyproto.WitnessReply{Decision: comfreyproto.WitnessDecision(d), Crashes: s.quarantine.export()}, nil
}

// tellWitness sends one event to the witness of a request. Without an answer
// the result is DecisionAllow, which leaves the decision to the own records.
func (s *Sidecar) tellWitness(ctx context.Context, e comfreyproto.WitnessEvent, f comfreyquarantine.Fingerprint) comfreyquarantine.Decision {
	host, address := s.quarantine.witnessOf(f)
	if host == "" || host == s.config.Host {
		return s.quarantine.serve(e, f, s.config.Host)
	}
	ctx, cancel := context.WithTimeout(ctx, witnessTimeout)
	defer cancel()
	r, err := s.peers.Sidecar(address).Witness(ctx, &comfreyproto.WitnessRequest{Event: e, Fingerprint: f[:], Host: s.config.Host, Crashes: s.quarantine.export()})
	if err != nil {
		s.metrics.witnessFailures.Inc()
		return comfreyquarantine.DecisionAllow
	}
	s.quarantine.merge(r.Crashes)
	return comfreyquarantine.Decision(r.Decision)
}

// clear decides whether a request may run here beside what crashes are known.
// The error is a comfreyverdict.Error with verdict not-run.
func (s *Sidecar) clear(ctx context.Context, g *generation) (comfreyquarantine.ExecutionID, error) {
	id, d := s.ask(ctx, g)
	for n := 0; n < copyPolls && d == comfreyquarantine.DecisionWait; n++ {
		if !comfreygroup.Sleep(ctx, copyPoll) {
			break
		}
		id, d = s.ask(ctx, g)
	}
	if d == comfreyquarantine.DecisionWait && !s.quarantine.isSuspected(g.fingerprint) {
		id, d = s.quarantine.startBeside(g.fingerprint)
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
		return 0, comfreyverdict.NotRun(comfreyverdict.ReasonSuspectBusy, "the request may have crashed an upstream, and another such request is running").WithRetryAfter(suspectRetry)
	}
	return 0, comfreyverdict.NotRun(comfreyverdict.ReasonSuspectRequest, "this request has crashed upstreams; change it before sending it again")
}

// ask joins the decision of the witness with the sidecar's own.
func (s *Sidecar) ask(ctx context.Context, g *generation) (comfreyquarantine.ExecutionID, comfreyquarantine.Decision) {
	return s.quarantine.start(g.fingerprint, s.tellWitness(ctx, comfreyproto.WitnessEvent_WITNESS_EVENT_ASK, g.fingerprint))
}

// settle ends a run that clear let begin.
func (s *Sidecar) settle(g *generation, id comfreyquarantine.ExecutionID, err error) {
	if err != nil && comfreyverdict.From(err).Reason == comfreyverdict.ReasonEngineFailed {
		s.noteCrash()
	}
	s.quarantine.finish(g.fingerprint, id, err == nil)
	e := comfreyproto.WitnessEvent_WITNESS_EVENT_COMPLETED
	if err != nil {
		e = comfreyproto.WitnessEvent_WITNESS_EVENT_FAILED
	}
	s.group.Go("witness", func(ctx context.Context) error {
		s.tellWitness(context.WithoutCancel(ctx), e, g.fingerprint)
		return nil
	})
}

// noteCrash records that the engine died with what was in flight.
func (s *Sidecar) noteCrash() {
	r, ok := s.quarantine.crash()
	if !ok {
		return
	}
	s.recorder.Record("", comfreydecision.KindSuspect, comfreyverdict.ReasonEngineFailed, map[string]any{"crash": r.Crash.Number, "suspects": len(r.Suspects), "weight": r.Weight()})
}

// renewWitnesses keeps the leases of running generations.
func (s *Sidecar) renewWitnesses(ctx context.Context) error {
	t := time.NewTicker(witnessRenewal)
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
				s.tellWitness(ctx, comfreyproto.WitnessEvent_WITNESS_EVENT_RENEW, g.fingerprint)
			}
		}
	}
}
