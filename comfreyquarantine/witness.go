package comfreyquarantine

import (
	"slices"
	"time"

	"comfreyridge.example/comfreyridge/comfreyinvariant"
)

// The defaults of WitnessConfig.
const (
	defaultLease    = 5 * time.Second
	defaultMaxKnown = 8192
	defaultKnownFor = 10 * time.Minute
)

// maxOpenRuns is at how many upstreams a request may run before it has
// completed once.
const maxOpenRuns = 2

const invariantOpenRuns comfreyinvariant.Name = "quarantine-two-open-runs"

// WitnessConfig holds the parts of a Witness. The zero value of a field
// selects its default; a negative number counts as zero.
type WitnessConfig struct {
	// LeaseDuration is how long a run counts as open without a word of its sidecar. The
	// default is 5 seconds.
	LeaseDuration time.Duration
	// MaxCompleted bounds how many requests are known to have completed. The default
	// is 8192.
	MaxCompleted int
	// CompletedRetention is how long a completed request is known. The default is 10
	// minutes.
	CompletedRetention time.Duration
}

// Witness grants the leases on the fingerprints of which its host is the
// witness. A sidecar asks it before it runs a request, so that a request which
// has not completed yet is at two upstreams at the most, whichever gateways it
// came through. The memory of a witness is soft: a new one starts from the
// crash records alone. A Witness is not safe for concurrent use.
type Witness struct {
	config WitnessConfig
	table  *Table
	open   map[Fingerprint][]lease
	known  map[Fingerprint]time.Time
	queue  []Fingerprint
}

type lease struct {
	host       string
	runs       int
	isIsolated bool
	expiry     time.Time
}

// NewWitness returns a witness that takes the crash records from t.
func NewWitness(c WitnessConfig, t *Table) *Witness {
	if c.LeaseDuration <= 0 {
		c.LeaseDuration = defaultLease
	}
	c.MaxCompleted = positive(c.MaxCompleted, defaultMaxKnown)
	if c.CompletedRetention <= 0 {
		c.CompletedRetention = defaultKnownFor
	}
	return &Witness{config: c, table: t, open: map[Fingerprint][]lease{}, known: map[Fingerprint]time.Time{}}
}

// Acquire decides whether the sidecar of host may run f. A request without crashes
// may run at one upstream; a second upstream runs it as a suspect, and so does
// the one that runs it after a crash. With DecisionWait it may be asked again
// once a run has ended. The sidecar that got DecisionAllow or DecisionIsolate
// calls Renew while it runs f and Done afterwards.
func (w *Witness) Acquire(now time.Time, f Fingerprint, host string) Decision {
	p := w.table.Suspicion(now, f)
	if p.IsConfirmed {
		return DecisionRefuse
	}
	w.expire(now, f)
	if p.Crashes == 0 && now.Before(w.known[f]) {
		return DecisionAllow
	}
	d := DecisionAllow
	if p.Crashes > 0 || len(w.open[f]) > 0 {
		d = DecisionIsolate
	}
	if i := w.find(f, host); i >= 0 {
		l := &w.open[f][i]
		l.runs++
		l.expiry = now.Add(w.config.LeaseDuration)
		return l.decision()
	}
	if p.Crashes+len(w.open[f]) >= maxOpenRuns && len(w.open[f]) > 0 {
		return DecisionWait
	}
	w.open[f] = append(w.open[f], lease{host, 1, d == DecisionIsolate, now.Add(w.config.LeaseDuration)})
	comfreyinvariant.Check(len(w.open[f]) <= maxOpenRuns, invariantOpenRuns, "%s has %d open runs", f, len(w.open[f]))
	return d
}

func (l lease) decision() Decision {
	if l.isIsolated {
		return DecisionIsolate
	}
	return DecisionAllow
}

// Renew keeps the run of f at host open.
func (w *Witness) Renew(now time.Time, f Fingerprint, host string) {
	if i := w.find(f, host); i >= 0 {
		w.open[f][i].expiry = now.Add(w.config.LeaseDuration)
	}
}

// Release ends one run of f at host. A request that has completed is cleared and
// may run anywhere. After a crash, the record is merged into the table before
// Release is called.
func (w *Witness) Release(now time.Time, f Fingerprint, host string, hasCompleted bool) {
	if hasCompleted {
		w.table.ClearSuspect(f)
		w.know(now, f)
	}
	i := w.find(f, host)
	if i < 0 {
		return
	}
	w.open[f][i].runs--
	if w.open[f][i].runs == 0 {
		w.close(f, slices.Delete(w.open[f], i, i+1))
	}
}

// Sweep ends the runs whose sidecars have been silent for too long and forgets
// requests that completed long ago. It is to be called about once for each
// lease time.
func (w *Witness) Sweep(now time.Time) {
	for f := range w.open {
		w.expire(now, f)
	}
	for len(w.queue) > 0 && !now.Before(w.known[w.queue[0]]) {
		w.forgetOldest()
	}
}

// OpenCount returns how many requests have an open run.
func (w *Witness) OpenCount() int {
	return len(w.open)
}

func (w *Witness) find(f Fingerprint, host string) int {
	return slices.IndexFunc(w.open[f], func(l lease) bool { return l.host == host })
}

// expire ends the runs whose sidecars have been silent for too long.
func (w *Witness) expire(now time.Time, f Fingerprint) {
	w.close(f, slices.DeleteFunc(w.open[f], func(l lease) bool { return !now.Before(l.expiry) }))
}

func (w *Witness) close(f Fingerprint, s []lease) {
	if len(s) == 0 {
		delete(w.open, f)
		return
	}
	w.open[f] = s
}

// know remembers a request that has completed, in place of the oldest one if
// there are too many.
func (w *Witness) know(now time.Time, f Fingerprint) {
	if _, ok := w.known[f]; !ok {
		w.queue = append(w.queue, f)
	}
	w.known[f] = now.Add(w.config.CompletedRetention)
	for len(w.queue) > w.config.MaxCompleted {
		w.forgetOldest()
	}
}

func (w *Witness) forgetOldest() {
	delete(w.known, w.queue[0])
	w.queue = w.queue[1:]
}
