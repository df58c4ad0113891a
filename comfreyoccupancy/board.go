// Package comfreyoccupancy estimates how full each replica is, from its late
// reports and from what this gateway knows to be running there. It makes no
// calls and reads no clock.
package comfreyoccupancy

import (
	"time"

	"comfreyridge.example/comfreyridge/comfreyreplica"
)

const (
	// reportLag is how old the figures of a report are when it arrives; the
	// platform speaks of some hundred milliseconds.
	reportLag = 500 * time.Millisecond
	// tokensPerSecond is how fast a generation grows: a step of an engine takes
	// 7 ms and more.
	tokensPerSecond = 105
	// keepFinished is how long a finished generation is remembered, so that a
	// late report does not count it again.
	keepFinished = 2 * time.Second
	// keepReport is how long a report without a successor counts.
	keepReport = 6 * time.Second
	// keepPeer is how long what another gateway said counts; it speaks four
	// times a second.
	keepPeer = 1500 * time.Millisecond
	// refusalTime is how long a replica counts as full that refused a request:
	// about the time in which one of half a dozen generations frees its memory.
	refusalTime = 150 * time.Millisecond
)

// Generation is a generation that a gateway has sent to a replica.
type Generation struct {
	ID      string
	Replica string
	// PromptTokens is the size of the prompt.
	PromptTokens int
	// GeneratedTokens is how many tokens were generated so far.
	GeneratedTokens int
	// RemainingTokens is how many tokens are expected to follow.
	RemainingTokens float64
	// IsDecoding is true from the first event on.
	IsDecoding bool
	// IsCopying means that the memory is on its way to the replica.
	IsCopying bool
}

// Tokens returns the memory that the run holds.
func (r Generation) Tokens() int {
	return r.PromptTokens + r.GeneratedTokens
}

// Load is the estimate for one replica.
type Load struct {
	// Running and Waiting count generations.
	Running, Waiting int
	// UsedTokens is the memory in use.
	UsedTokens int
	// RemainingTokens is how much the running generations are expected to grow.
	RemainingTokens float64
	// CapacityTokens is the whole memory; zero if unknown.
	CapacityTokens int
	// PendingPrefillTokens are prompts that were sent and have produced no event yet.
	PendingPrefillTokens int
	// CopyTokens is the memory on its way to the replica.
	CopyTokens int
	// IsRefusing replicas have just had no room for a request.
	IsRefusing bool
	// Age is the age of the last report; negative if there is none.
	Age time.Duration
}

type report struct {
	comfreyreplica.Report
	at time.Time
}

// peer is what another gateway said of its runs.
type peer struct {
	runs map[string]*Generation
	at   time.Time
}

// Estimator holds the reports and the runs of the gateways. It is not safe for
// concurrent use.
type Estimator struct {
	remaining func(grown int) float64
	reports   map[string]report
	runs      map[string]*Generation
	finished  map[string]time.Time
	refusals  map[string]time.Time
	peers     map[string]peer
	// tokensPerEvent is how many tokens an event of a report counts for.
	tokensPerEvent int
}

// Config holds the settings of a Board. The zero value of each field selects
// its default.
type Config struct {
	// RemainingTokens returns the expected number of tokens that follow the given
	// number of tokens of a foreign run; always zero by default.
	RemainingTokens func(grown int) float64
	// TokensPerEvent is how many tokens an event holds; 4 by default.
	TokensPerEvent int
}

// NewEstimator returns a board that knows nothing.
func NewEstimator(c Config) *Estimator {
	if c.RemainingTokens == nil {
		c.RemainingTokens = func(int) float64 { return 0 }
	}
	if c.TokensPerEvent <= 0 {
		c.TokensPerEvent = 4
	}
	return &Estimator{
		remaining: c.RemainingTokens, tokensPerEvent: c.TokensPerEvent,
		reports: map[string]report{}, runs: map[string]*Generation{}, finished: map[string]time.Time{}, refusals: map[string]time.Time{}, peers: map[string]peer{},
	}
}

// SetReport takes a replica's report.
func (b *Estimator) SetReport(now time.Time, replica string, r comfreyreplica.Report) {
	b.reports[replica] = report{r, now}
}

// Start notes a run that is sent to a replica, or that goes on at another one.
func (b *Estimator) Start(r Generation) {
	delete(b.finished, r.ID)
	b.runs[r.ID] = &r
}

// Progress notes how far a run has come.
func (b *Estimator) Progress(id string, grown int, remaining float64) {
	if r, ok := b.runs[id]; ok {
		r.GeneratedTokens, r.RemainingTokens, r.IsDecoding = grown, remaining, true
	}
}

// Finish notes the end of a run.
func (b *Estimator) Finish(now time.Time, id string) {
	if _, ok := b.runs[id]; ok {
		delete(b.runs, id)
		b.finished[id] = now
	}
}

// Refused notes that a replica had no room for a run that was to start there.
func (b *Estimator) Refused(now time.Time, replica, id string) {
	b.Finish(now, id)
	b.refusals[replica] = now
}

// SetPeer takes the runs of another gateway.
func (b *Estimator) SetPeer(now time.Time, gateway string, runs []Generation) {
	p := peer{runs: make(map[string]*Generation, len(runs)), at: now}
	for _, r := range runs {
		p.runs[r.ID] = &r
	}
	for id := range b.peers[gateway].runs {
		if _, ok := p.runs[id]; !ok {
			b.finished[id] = now
		}
	}
	b.peers[gateway] = p
}

// Generations returns the runs of this gateway, in no order.
func (b *Estimator) Generations() []Generation {
	l := make([]Generation, 0, len(b.runs))
	for _, r := range b.runs {
		l = append(l, *r)
	}
	return l
}

// Expire forgets what is too old to matter. It is to be called about every
// second.
func (b *Estimator) Expire(now time.Time) {
	for id, t := range b.finished {
		if now.Sub(t) > keepFinished {
			delete(b.finished, id)
		}
	}
	for id, t := range b.refusals {
		if now.Sub(t) > refusalTime {
			delete(b.refusals, id)
		}
	}
	for id, r := range b.reports {
		if now.Sub(r.at) > keepReport {
			delete(b.reports, id)
		}
	}
	for a, p := range b.peers {
		if now.Sub(p.at) > keepPeer {
			delete(b.peers, a)
		}
	}
}

// Loads returns a function that estimates the load of a replica. It is valid
// until the next change.
func (b *Estimator) Loads(now time.Time) func(replica string) Load {
	runs := b.byReplica()
	return func(replica string) Load { return b.load(now, replica, runs[replica]) }
}

// byReplica returns the known runs of each replica.
func (b *Estimator) byReplica() map[string][]*Generation {
	m := map[string][]*Generation{}
	for _, r := range b.runs {
		m[r.Replica] = append(m[r.Replica], r)
	}
	for _, p := range b.peers {
		for _, r := range p.runs {
			m[r.Replica] = append(m[r.Replica], r)
		}
	}
	return m
}

// load estimates the load of a replica with the given known runs.
func (b *Estimator) load(now time.Time, replica string, runs []*Generation) Load {
	l := Load{Age: -1}
	if r, ok := b.reports[replica]; ok {
		b.addReport(&l, now, runs, r)
	}
	for _, r := range runs {
		l.add(*r)
	}
	if t, ok := b.refusals[replica]; ok {
		l.IsRefusing = now.Sub(t) < refusalTime
	}
	return l
}

// add counts a known run.
func (l *Load) add(r Generation) {
	l.Running++
	l.UsedTokens += r.Tokens()
	l.RemainingTokens += r.RemainingTokens
	if r.IsCopying {
		l.CopyTokens += r.Tokens()
	} else if !r.IsDecoding {
		l.PendingPrefillTokens += r.PromptTokens
	}
}

// addReport adds what runs at a replica besides the known runs.
func (b *Estimator) addReport(l *Load, now time.Time, runs []*Generation, r report) {
	l.Age = now.Sub(r.at)
	l.CapacityTokens = r.CapacityTokens
	l.Waiting = r.Waiting
	grown := (l.Age + reportLag).Seconds() * tokensPerSecond
	counted := 0
	listed := make(map[string]bool, len(r.Generations))
	for _, u := range r.Generations {
		counted += u.Tokens
		listed[u.ID] = true
		if b.isKnown(u.ID) {
			continue
		}
		remaining := b.remaining(u.Events * b.tokensPerEvent)
		if remaining < grown/2 {
			continue // It has most likely ended since.
		}
		l.Running++
		l.UsedTokens += u.Tokens + int(grown)
		l.RemainingTokens += max(remaining-grown, 0)
	}
	// A report lists no runs that are being read or copied, though their memory
	// is in use. What is left over belongs to runs that nobody knows.
	for _, u := range runs {
		if !listed[u.ID] {
			counted += u.Tokens()
		}
	}
	l.UsedTokens += max(r.UsedTokens-counted, 0)
}

// isKnown reports whether a run is counted already, or has ended a moment ago.
func (b *Estimator) isKnown(id string) bool {
	if _, ok := b.runs[id]; ok {
		return true
	}
	for _, p := range b.peers {
		if _, ok := p.runs[id]; ok {
			return true
		}
	}
	_, ok := b.finished[id]
	return ok
}
