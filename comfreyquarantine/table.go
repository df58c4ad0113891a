package comfreyquarantine

import (
	"slices"
	"time"

	"comfreyridge.example/comfreyridge/comfreyinvariant"
)

// The defaults of Config.
const (
	defaultRetention   = time.Hour
	defaultMaxRecords  = 256
	defaultMaxSuspects = 512
	defaultMaxPushes   = 32
)

const invariantOneSuspect comfreyinvariant.Name = "quarantine-one-suspect-in-flight"

// Config holds the parts of a Table. The zero value of a field selects its
// default; a negative number counts as zero.
type Config struct {
	// Host is the host of this process.
	Host string
	// Incarnation distinguishes this process from every earlier one on the host.
	Incarnation uint64
	// Retention is how long a crash is remembered. The default is one hour.
	Retention time.Duration
	// MaxRecords bounds the crashes that are remembered; the one that expires
	// first gives way. The default is 256.
	MaxRecords int
	// MaxSuspects bounds the suspects of one record; a larger record that comes
	// from another process is ignored. The default is 512.
	MaxSuspects int
	// MaxPushes is how often a process passes on a record after it learned of
	// the record or of a confirmation in it. The default is 32.
	MaxPushes int
}

func (c Config) withDefaults() Config {
	if c.Retention <= 0 {
		c.Retention = defaultRetention
	}
	c.MaxRecords = positive(c.MaxRecords, defaultMaxRecords)
	c.MaxSuspects = positive(c.MaxSuspects, defaultMaxSuspects)
	c.MaxPushes = positive(c.MaxPushes, defaultMaxPushes)
	return c
}

func positive(v, d int) int {
	if v > 0 {
		return v
	}
	return d
}

// Decision is what an upstream does with a request. Of two decisions on the
// same request, the larger one is the stricter and holds.
type Decision int

// The decisions.
const (
	// DecisionAllow runs the request like any other.
	DecisionAllow Decision = iota
	// DecisionIsolate runs the request as the only suspect of the upstream.
	DecisionIsolate
	// DecisionWait means that the request may not run right now.
	DecisionWait
	// DecisionRefuse means that the request has crashed upstreams and does not
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

// RunID identifies a request in flight at a Table.
type RunID uint64

type run struct {
	fingerprint Fingerprint
	isSuspect   bool
}

// Table holds the crash records that one process knows and, in a sidecar, what
// is in flight at its upstream. A Table is not safe for concurrent use.
type Table struct {
	config   Config
	records  map[CrashID]CrashRecord
	pushes   map[CrashID]int
	inFlight map[RunID]run
	lastRun  RunID
	crashes  uint64
}

// NewTable returns a table without records.
func NewTable(c Config) *Table {
	return &Table{
		config:   c.withDefaults(),
		records:  map[CrashID]CrashRecord{},
		pushes:   map[CrashID]int{},
		inFlight: map[RunID]run{},
	}
}

// Suspicion is what the records of a table say about one request.
type Suspicion struct {
	// Crashes is in how many crashes the request was in flight and has not been
	// cleared of.
	Crashes int
	// Weight is the sum of the weights of these crashes.
	Weight float64
	// IsConfirmed means that it was the only suspect in one of them.
	IsConfirmed bool
}

// Suspicion returns what is known about f.
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

// Decide returns what this process does with a request by its own knowledge.
// An upstream runs one suspect at a time, so that its next crash tells who
// caused it.
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

// DecideIsolation returns DecisionIsolate if f may run here as the only suspect, and
// DecisionWait while another suspect is in flight, be it one that became a
// suspect after its start.
func (t *Table) DecideIsolation(now time.Time, f Fingerprint) Decision {
	for _, g := range t.suspects(now) {
		if g != f {
			return DecisionWait
		}
	}
	return DecisionIsolate
}

// Start notes a request that goes to the upstream by the decision d.
func (t *Table) Start(f Fingerprint, d Decision) RunID {
	t.lastRun++
	t.inFlight[t.lastRun] = run{f, d == DecisionIsolate}
	n := t.isolated()
	comfreyinvariant.Check(n <= 1, invariantOneSuspect, "%d suspects were started as the only one", n)
	return t.lastRun
}

// Finish notes that a request has left the upstream. A request that has
// completed is cleared of the crashes that this process knows of; one that was
// cancelled or refused is not. It does nothing for a request that is not in
// flight.
func (t *Table) Finish(id RunID, hasCompleted bool) {
	r, ok := t.inFlight[id]
	if !ok {
		return
	}
	delete(t.inFlight, id)
	if hasCompleted {
		t.ClearSuspect(r.fingerprint)
	}
}

// ClearSuspect clears a request of the crashes that this process knows of.
func (t *Table) ClearSuspect(f Fingerprint) {
	for c, r := range t.records {
		if i, ok := r.find(f); ok && !r.Suspects[i].IsCleared {
			t.records[c] = r.withCleared(f)
		}
	}
}

// RecordCrash notes that the upstream died without a known cause, such as a planned
// stop, and returns the record of what was in flight. It reports false if
// nothing was.
func (t *Table) RecordCrash(now time.Time) (CrashRecord, bool) {
	if len(t.inFlight) == 0 {
		return CrashRecord{}, false
	}
	t.crashes++
	u := t.suspects(now)
	s := make([]Suspect, 0, len(t.inFlight))
	for _, r := range t.inFlight {
		isLone := len(u) == 1 && u[0] == r.fingerprint
		s = append(s, Suspect{Fingerprint: r.fingerprint, IsConfirmed: isLone})
	}
	clear(t.inFlight)
	r := CrashRecord{
		Crash:    CrashID{t.config.Host, t.config.Incarnation, t.crashes},
		Expiry:   now.Add(t.config.Retention),
		Suspects: union(s),
	}
	t.Merge(now, []CrashRecord{r})
	return r, true
}

// InFlight returns how many requests are in flight at the upstream.
func (t *Table) InFlight() int {
	return len(t.inFlight)
}

// suspects returns the distinct suspects in flight.
func (t *Table) suspects(now time.Time) []Fingerprint {
	var s []Fingerprint
	for _, r := range t.inFlight {
		if slices.Contains(s, r.fingerprint) {
			continue
		}
		if r.isSuspect || t.Suspicion(now, r.fingerprint).Crashes > 0 {
			s = append(s, r.fingerprint)
		}
	}
	return s
}

// isolated returns how many distinct requests were started by DecisionIsolate.
func (t *Table) isolated() int {
	s := map[Fingerprint]bool{}
	for _, r := range t.inFlight {
		if r.isSuspect {
			s[r.fingerprint] = true
		}
	}
	return len(s)
}
