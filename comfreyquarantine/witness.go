package comfreyquarantine

import (
	"slices"
	"time"

	"comfreyridge.example/comfreyridge/comfreyinvariant"
)

// Defaults of a WitnessConfig.
const (
	defaultLeaseDuration      = 5 * time.Second
	defaultMaxCompleted       = 8192
	defaultCompletedRetention = 10 * time.Minute
)

// maxConcurrentUpstreams is the number of upstreams at which a request may be
// in flight before it has completed once.
const maxConcurrentUpstreams = 2

// invariantConcurrentUpstreams is the invariant that a request has leases at no
// more than maxConcurrentUpstreams upstreams.
const invariantConcurrentUpstreams comfreyinvariant.Name = "quarantine-two-open-runs"

// WitnessConfig configures a Witness. The zero value of a field selects its
// default; a negative number counts as zero.
type WitnessConfig struct {
	// LeaseDuration is how long a lease lasts without a renewal by its sidecar.
	// The default is 5 seconds.
	LeaseDuration time.Duration
	// MaxCompleted bounds the number of completed requests that are kept. A
	// completed request without crashes runs without a lease. The default is 8192.
	MaxCompleted int
	// CompletedRetention is how long a completed request is kept. The default is
	// 10 minutes.
	CompletedRetention time.Duration
}

// Witness grants the leases on request fingerprints. The witness of a
// fingerprint is the host that processes with the same host list choose by
// WitnessHosts. A sidecar acquires a lease from it before it starts a request,
// so that a request that has not completed yet is in flight at no more than two
// upstreams, whichever gateways it came through. The state of a witness is not
// persistent: a new one starts from the crash records alone. A Witness is not
// safe for concurrent use.
type Witness struct {
	config WitnessConfig
	table  *Table
	leases map[Fingerprint][]lease
	// completed holds when the retention of each completed request ends, and
	// completedOrder lists these requests from the oldest.
	completed      map[Fingerprint]time.Time
	completedOrder []Fingerprint
}

// lease is the right of one host to execute a request, which it may do several
// times at once.
type lease struct {
	host       string
	executions int
	isIsolated bool
	expiry     time.Time
}

// NewWitness returns a witness that uses the crash records of t.
func NewWitness(c WitnessConfig, t *Table) *Witness {
	if c.LeaseDuration <= 0 {
		c.LeaseDuration = defaultLeaseDuration
	}
	c.MaxCompleted = orDefault(c.MaxCompleted, defaultMaxCompleted)
	if c.CompletedRetention <= 0 {
		c.CompletedRetention = defaultCompletedRetention
	}
	return &Witness{config: c, table: t, leases: map[Fingerprint][]lease{}, completed: map[Fingerprint]time.Time{}}
}

// Acquire decides whether the sidecar of host may start f. A request without
// crashes may run at one upstream; a second upstream runs it as a suspect, and
// so does the one that runs it after a crash. After DecisionWait the sidecar
// may call Acquire again once an execution has ended. After DecisionAllow or
// DecisionIsolate it calls Renew while f is in flight and Release afterwards.
func (w *Witness) Acquire(now time.Time, f Fingerprint, host string) Decision {
	p := w.table.Suspicion(now, f)
	if p.IsConfirmed {
		return DecisionRefuse
	}
	w.expire(now, f)
	if p.Crashes == 0 && now.Before(w.completed[f]) {
		return DecisionAllow
	}
	d := DecisionAllow
	if p.Crashes > 0 || len(w.leases[f]) > 0 {
		d = DecisionIsolate
	}
	own := w.leaseIndex(f, host)
	others := len(w.leases[f])
	if own >= 0 {
		others--
	}
	// A crash at host itself may be recorded before its lease is released, so
	// that the lease alone does not admit another execution.
	if others > 0 && p.Crashes+others >= maxConcurrentUpstreams {
		return DecisionWait
	}
	if own >= 0 {
		l := &w.leases[f][own]
		l.executions++
		l.expiry = now.Add(w.config.LeaseDuration)
		l.isIsolated = l.isIsolated || p.Crashes > 0
		return l.decision()
	}
	w.leases[f] = append(w.leases[f], lease{host, 1, d == DecisionIsolate, now.Add(w.config.LeaseDuration)})
	comfreyinvariant.Check(len(w.leases[f]) <= maxConcurrentUpstreams, invariantConcurrentUpstreams, "request %s has leases at %d upstreams, want at most 2", f, len(w.leases[f]))
	return d
}

func (l lease) decision() Decision {
	if l.isIsolated {
		return DecisionIsolate
	}
	return DecisionAllow
}

// Renew extends the lease of host on f.
func (w *Witness) Renew(now time.Time, f Fingerprint, host string) {
	if i := w.leaseIndex(f, host); i >= 0 {
		w.leases[f][i].expiry = now.Add(w.config.LeaseDuration)
	}
}

// Release ends one execution of f at host. A request that has completed is
// cleared and may run anywhere. After a crash, the crash record has to be
// merged into the table before Release is called.
func (w *Witness) Release(now time.Time, f Fingerprint, host string, hasCompleted bool) {
	if hasCompleted {
		w.table.ClearSuspect(f)
		w.recordCompleted(now, f)
	}
	i := w.leaseIndex(f, host)
	if i < 0 {
		return
	}
	w.leases[f][i].executions--
	if w.leases[f][i].executions == 0 {
		w.setLeases(f, slices.Delete(w.leases[f], i, i+1))
	}
}

// Sweep removes expired leases and the completed requests whose retention is
// over. It is meant to be called about once per lease duration.
func (w *Witness) Sweep(now time.Time) {
	for f := range w.leases {
		w.expire(now, f)
	}
	for len(w.completedOrder) > 0 && !now.Before(w.completed[w.completedOrder[0]]) {
		w.evictOldestCompleted()
	}
}

// LeasedRequests returns the number of requests with a lease.
func (w *Witness) LeasedRequests() int {
	return len(w.leases)
}

func (w *Witness) leaseIndex(f Fingerprint, host string) int {
	return slices.IndexFunc(w.leases[f], func(l lease) bool { return l.host == host })
}

// expire removes the expired leases on f.
func (w *Witness) expire(now time.Time, f Fingerprint) {
	w.setLeases(f, slices.DeleteFunc(w.leases[f], func(l lease) bool { return !now.Before(l.expiry) }))
}

func (w *Witness) setLeases(f Fingerprint, s []lease) {
	if len(s) == 0 {
		delete(w.leases, f)
		return
	}
	w.leases[f] = s
}

// recordCompleted keeps a request that has completed, and evicts the oldest
// ones if there are too many.
func (w *Witness) recordCompleted(now time.Time, f Fingerprint) {
	if _, ok := w.completed[f]; !ok {
		w.completedOrder = append(w.completedOrder, f)
	}
	w.completed[f] = now.Add(w.config.CompletedRetention)
	for len(w.completedOrder) > w.config.MaxCompleted {
		w.evictOldestCompleted()
	}
}

func (w *Witness) evictOldestCompleted() {
	delete(w.completed, w.completedOrder[0])
	w.completedOrder = w.completedOrder[1:]
}
