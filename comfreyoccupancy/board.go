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

// Run is a generation that a gateway has sent to a replica.
type Run struct {
	ID      string
	Replica string
	// PromptTokens is the size of the prompt.
	PromptTokens int
	// GrownTokens is how many tokens were generated so far.
	GrownTokens int
	// RemainingTokens is how many tokens are expected to follow.
	RemainingTokens float64
	// HasBegun is true from the first event on.
	HasBegun bool
	// IsCopying means that the memory is on its way to the replica.
	IsCopying bool
}

// Tokens returns the memory that the run holds.
func (r Run) Tokens() int {
	return r.PromptTokens + r.GrownTokens
}

// Load is the estimate for one replica.
type Load struct {
	// Running and Waiting count generations.
	Running, Waiting int
	// UsedTokens is the memory in use.
	UsedTokens int
	// ExpectedTokens is how much the running generations are expected to grow.
	ExpectedTokens float64
	// CapacityTokens is the whole memory; zero if unknown.
	CapacityTokens int
	// UnreadTokens are prompts that were sent and have produced no event yet.
	UnreadTokens int
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
	runs map[string]*Run
	at   time.Time
}

// Board holds the reports and the runs of the gateways. It is not safe for
// concurrent use.
type Board struct {
	remaining func(grown int) float64
	reports   map[string]report
	runs      map[string]*Run
	finished  map[string]time.Time
	refusals  map[string]time.Time
	peers     map[string]peer
	// tokensPerEvent is how many tokens an event of a report counts for.
	tokensPerEvent int
}

// Config holds the settings of a Board. The zero value of each field selects
// its default.
type Config struct {
	// Remaining returns the expected number of tokens that follow the given
	// number of tokens of a foreign run; always zero by default.
	Remaining func(grown int) float64
	// TokensPerEvent is how many tokens an event holds; 4 by default.
	TokensPerEvent int
}

// NewBoard returns a board that knows nothing.
func NewBoard(c Config) *Board {
	if c.Remaining == nil {
		c.Remaining = func(int) float64 { return 0 }
	}
	if c.TokensPerEvent <= 0 {
		c.TokensPerEvent = 4
	}
	return &Board{
		remaining: c.Remaining, tokensPerEvent: c.TokensPerEvent,
		reports: map[string]report{}, runs: map[string]*Run{}, finished: map[string]time.Time{}, refusals: map[string]time.Time{}, peers: map[string]peer{},
	}
}

// Report takes a replica's report.
func (b *Board) Report(now time.Time, replica string, r comfreyreplica.Report) {
	b.reports[replica] = report{r, now}
}

// Start notes a run that is sent to a replica, or that goes on at another one.
func (b *Board) Start(r Run) {
	delete(b.finished, r.ID)
	b.runs[r.ID] = &r
}

// Progress notes how far a run has come.
func (b *Board) Progress(id string, grown int, remaining float64) {
	if r, ok := b.runs[id]; ok {
		r.GrownTokens, r.RemainingTokens, r.HasBegun = grown, remaining, true
	}
}

// Finish notes the end of a run.
func (b *Board) Finish(now time.Time, id string) {
	if _, ok := b.runs[id]; ok {
		delete(b.runs, id)
		b.finished[id] = now
	}
}

// Refuse notes that a replica had no room for a run that was to start there.
func (b *Board) Refuse(now time.Time, replica, id string) {
	b.Finish(now, id)
	b.refusals[replica] = now
}

// Peer takes the runs of another gateway.
func (b *Board) Peer(now time.Time, gateway string, runs []Run) {
	p := peer{runs: make(map[string]*Run, len(runs)), at: now}
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

// Runs returns the runs of this gateway, in no order.
func (b *Board) Runs() []Run {
	l := make([]Run, 0, len(b.runs))
	for _, r := range b.runs {
		l = append(l, *r)
	}
	return l
}

// Expire forgets what is too old to matter. It is to be called about every
// second.
func (b *Board) Expire(now time.Time) {
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
func (b *Board) Loads(now time.Time) func(replica string) Load {
	runs := b.byReplica()
	return func(replica string) Load { return b.load(now, replica, runs[replica]) }
}

// byReplica returns the known runs of each replica.
func (b *Board) byReplica() map[string][]*Run {
	m := map[string][]*Run{}
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
func (b *Board) load(now time.Time, replica string, runs []*Run) Load {
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
func (l *Load) add(r Run) {
	l.Running++
	l.UsedTokens += r.Tokens()
	l.ExpectedTokens += r.RemainingTokens
	if r.IsCopying {
		l.CopyTokens += r.Tokens()
	} else if !r.HasBegun {
		l.UnreadTokens += r.PromptTokens
	}
}

// addReport adds what runs at a replica besides the known runs.
func (b *Board) addReport(l *Load, now time.Time, runs []*Run, r report) {
	l.Age = now.Sub(r.at)
	l.CapacityTokens = r.CapacityTokens
	l.Waiting = r.Waiting
	grown := (l.Age + reportLag).Seconds() * tokensPerSecond
	counted := 0
	listed := make(map[string]bool, len(r.Runs))
	for _, u := range r.Runs {
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
		l.ExpectedTokens += max(remaining-grown, 0)
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
func (b *Board) isKnown(id string) bool {
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
