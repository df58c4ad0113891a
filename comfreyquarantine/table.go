package comfreyquarantine

import (
	"slices"
	"time"

	"comfreyridge.example/comfreyridge/comfreyinvariant"
)

// Defaults of a Config.
const (
	defaultRetention   = time.Hour
	defaultMaxRecords  = 256
	defaultMaxSuspects = 512
	defaultMaxPushes   = 32
)

// invariantOneSuspect is the invariant that at most one distinct request is in
// flight under DecisionIsolate.
const invariantOneSuspect comfreyinvariant.Name = "quarantine-one-suspect-in-flight"

// Config configures a Table. The zero value of a field selects its default; a
// negative number counts as zero.
type Config struct {
	// Host is the host of this process.
	Host string
	// Incarnation distinguishes this process from every earlier one on the host.
	Incarnation uint64
	// Retention is how long a crash record is kept. The default is one hour.
	Retention time.Duration
	// MaxRecords bounds the number of crash records; beyond it, settled records
	// and then those that expire first are evicted. The default is 256.
	MaxRecords int
	// MaxSuspects bounds the suspects of one record; a larger record of another
	// process is ignored. The default is 512.
	MaxSuspects int
	// MaxPushes is how often a process sends a record to others after the record,
	// or a confirmation in it, was added to its table. The default is 32.
	MaxPushes int
}

func (c Config) withDefaults() Config {
	if c.Retention <= 0 {
		c.Retention = defaultRetention
	}
	c.MaxRecords = orDefault(c.MaxRecords, defaultMaxRecords)
	c.MaxSuspects = orDefault(c.MaxSuspects, defaultMaxSuspects)
	c.MaxPushes = orDefault(c.MaxPushes, defaultMaxPushes)
	return c
}

func orDefault(v, d int) int {
	if v > 0 {
		return v
	}
	return d
}

// Decision is what an upstream does with a request. Of two decisions on the
// same request, the larger one is the stricter and applies.
type Decision int

// The decisions.
const (
	// DecisionAllow runs the request like any other.
	DecisionAllow Decision = iota
	// DecisionIsolate runs the request as the only suspect of the upstream.
	DecisionIsolate
	// DecisionWait means that the request may not run yet.
	DecisionWait
	// DecisionRefuse means that the request has crashed an upstream and does not
	// run again until its records expire.
	DecisionRefuse
)

// String returns the kebab-case name of d, which is "refuse" for an
// out-of-range value.
func (d Decision) String() string {
	switch d {
	case DecisionAllow:
		return "allow"
	case DecisionIsolate:
		return "isolate"
	case DecisionWait:
		return "wait"
	default:
		return "refuse"
	}
}

// ExecutionID identifies a request in flight at a Table.
type ExecutionID uint64

// execution is a request in flight. It is isolated if it was started under
// DecisionIsolate.
type execution struct {
	fingerprint Fingerprint
	isIsolated  bool
}

// Table holds the crash records of one process and, in a sidecar, the requests
// in flight at its upstream. A Table is not safe for concurrent use.
type Table struct {
	config     Config
	records    map[CrashID]CrashRecord
	pushCounts map[CrashID]int
	// causeCounts is the result of possibleCauseCounts; nil after each change of the
	// records.
	causeCounts   map[Fingerprint]int
	inFlight      map[ExecutionID]execution
	lastExecution ExecutionID
	crashCount    uint64
}

// NewTable returns a table without records.
func NewTable(c Config) *Table {
	return &Table{
		config:     c.withDefaults(),
		records:    map[CrashID]CrashRecord{},
		pushCounts: map[CrashID]int{},
		inFlight:   map[ExecutionID]execution{},
	}
}

// Suspicion summarizes the records of a table about one request.
type Suspicion struct {
	// Crashes is the number of crashes in which the request was in flight and of
	// which it has not been cleared.
	Crashes int
	// Weight is the sum of the weights of the records of these crashes.
	Weight float64
	// IsConfirmed means that the request was the only suspect in one of them.
	IsConfirmed bool
}

// Suspicion returns the suspicion against f at now.
func (t *Table) Suspicion(now time.Time, f Fingerprint) Suspicion {
	var p Suspicion
	for _, r := range t.records {
		i, ok := r.find(f)
		if !ok || r.Suspects[i].IsCleared || !now.Before(r.Expiry) {
			continue
		}
		p.Crashes++
		p.Weight += r.Weight()
		p.IsConfirmed = p.IsConfirmed || r.Suspects[i].IsConfirmed
	}
	return p
}

// Decide returns the decision on a request by the records of this process
// alone. An upstream runs one suspect at a time, so that its next crash
// identifies the cause.
func (t *Table) Decide(now time.Time, f Fingerprint) Decision {
	p := t.Suspicion(now, f)
	switch {
	case p.IsConfirmed:
		return DecisionRefuse
	case p.Crashes == 0:
		return DecisionAllow
	default:
		return t.DecideIsolation(now, f)
	}
}

// DecideIsolation returns DecisionIsolate if f may run here as the only
// suspect, and DecisionWait while another suspect is in flight, including a
// request that became a suspect after its start.
func (t *Table) DecideIsolation(now time.Time, f Fingerprint) Decision {
	for _, g := range t.suspectsInFlight(now) {
		if g != f {
			return DecisionWait
		}
	}
	return DecisionIsolate
}

// Start records that a request is sent to the upstream under the decision d.
func (t *Table) Start(f Fingerprint, d Decision) ExecutionID {
	t.lastExecution++
	t.inFlight[t.lastExecution] = execution{f, d == DecisionIsolate}
	n := t.isolatedCount()
	comfreyinvariant.Check(n <= 1, invariantOneSuspect, "%d requests are in flight under DecisionIsolate, want at most 1", n)
	return t.lastExecution
}

// Finish records that a request is no longer in flight. A completed request is
// cleared in all records of the table; a cancelled or refused one is not.
// Finish does nothing for a request that is not in flight.
func (t *Table) Finish(id ExecutionID, hasCompleted bool) {
	r, ok := t.inFlight[id]
	if !ok {
		return
	}
	delete(t.inFlight, id)
	if hasCompleted {
		t.ClearSuspect(r.fingerprint)
	}
}

// ClearSuspect clears a request in all records of the table.
func (t *Table) ClearSuspect(f Fingerprint) {
	for c, r := range t.records {
		if i, ok := r.find(f); ok && !r.Suspects[i].IsCleared {
			t.records[c], t.causeCounts = r.withCleared(f), nil
		}
	}
}

// ClearSuspectBefore clears a feature in the records of the crashes before a time at
// which a request with it has run. It reports whether the feature was a suspect of
// two of them or more, so that others have to know.
func (t *Table) ClearSuspectBefore(at time.Time, f Fingerprint) bool {
	var changed []CrashID
	for c, r := range t.records {
		if i, ok := r.find(f); ok && !r.Suspects[i].IsCleared && r.at(t.config.Retention).Before(at) {
			t.records[c], t.causeCounts = r.withCleared(f), nil
			changed = append(changed, c)
		}
	}
	if len(changed) < 2 {
		return false
	}
	for _, c := range changed {
		t.pushCounts[c] = 0
	}
	return true
}

// Retract clears all suspects of a silent crash that has not happened, and reports whether
// there were any.
func (t *Table) Retract(c CrashID) bool {
	r, ok := t.records[c]
	if !ok || !r.IsSilent || r.isSettled() {
		return false
	}
	for _, s := range r.Suspects {
		r = r.withCleared(s.Fingerprint)
	}
	t.records[c], t.causeCounts, t.pushCounts[c] = r, nil, 0
	return true
}

// RecordCrash records a crash of the upstream, that is an end for which there
// is no known cause such as a planned stop. It returns the record of the
// requests in flight, and false if there were none.
func (t *Table) RecordCrash(now time.Time) (CrashRecord, bool) {
	if len(t.inFlight) == 0 {
		return CrashRecord{}, false
	}
	t.crashCount++
	u := t.suspectsInFlight(now)
	s := make([]Suspect, 0, len(t.inFlight))
	for _, r := range t.inFlight {
		isOnlySuspect := len(u) == 1 && u[0] == r.fingerprint
		s = append(s, Suspect{Fingerprint: r.fingerprint, IsConfirmed: isOnlySuspect})
	}
	clear(t.inFlight)
	r := CrashRecord{
		Crash:    CrashID{t.config.Host, t.config.Incarnation, t.crashCount},
		Expiry:   now.Add(t.config.Retention),
		Suspects: mergeSuspects(s),
	}
	t.Merge(now, []CrashRecord{r})
	return r, true
}

// InFlight returns the number of requests in flight at the upstream.
func (t *Table) InFlight() int {
	return len(t.inFlight)
}

// suspectsInFlight returns the distinct suspects in flight.
func (t *Table) suspectsInFlight(now time.Time) []Fingerprint {
	var s []Fingerprint
	for _, r := range t.inFlight {
		if slices.Contains(s, r.fingerprint) {
			continue
		}
		if r.isIsolated || t.Suspicion(now, r.fingerprint).Crashes > 0 {
			s = append(s, r.fingerprint)
		}
	}
	return s
}

// isolatedCount returns how many distinct requests in flight were started under
// DecisionIsolate.
func (t *Table) isolatedCount() int {
	s := map[Fingerprint]bool{}
	for _, r := range t.inFlight {
		if r.isIsolated {
			s[r.fingerprint] = true
		}
	}
	return len(s)
}
