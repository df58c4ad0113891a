// Package comfreyoccupancy estimates the load of each replica from its delayed
// load reports and from the generations that this gateway and its peers have
// sent there. It makes no calls and reads no clock.
package comfreyoccupancy

import (
	"time"

	"comfreyridge.example/comfreyridge/comfreyreplica"
)

const (
	// reportLag is the assumed age of a load report's data on arrival; the
	// platform documents a few hundred milliseconds.
	reportLag = 500 * time.Millisecond
	// tokensPerSecond is the assumed rate of one generation; a step of an engine
	// takes at least 7 ms.
	tokensPerSecond = 105
	// finishedRetention is how long the id of a finished generation is kept, so
	// that a delayed load report does not count it again.
	finishedRetention = 2 * time.Second
	// reportRetention is how long a load report is used if no newer one arrives.
	reportRetention = 6 * time.Second
	// peerRetention is how long a peer's generations are counted after its last
	// message; peers send four a second.
	peerRetention = 1500 * time.Millisecond
	// cellRetention is how long the state of another cell is used after its last
	// message; a relay sends one at least every 2 s.
	cellRetention = 2500 * time.Millisecond
	// summaryLag is how long a placement may take to be counted in the load that
	// another cell reports: it travels to that cell and back with the cells'
	// states, which are sent every 250 ms.
	summaryLag = 600 * time.Millisecond
	// refusalPeriod is how long a replica that refused a request counts as full:
	// about the time until one of half a dozen generations frees its KV cache.
	refusalPeriod = 150 * time.Millisecond
)

// Generation is one streamed inference request that a gateway has sent to a
// replica.
type Generation struct {
	ID      string
	Replica string
	// PromptTokens is the length of the prompt.
	PromptTokens int
	// GeneratedTokens is the number of output tokens so far.
	GeneratedTokens int
	// RemainingTokens is the expected number of further output tokens.
	RemainingTokens float64
	// IsDecoding is true from the first event on, when prefill is complete.
	IsDecoding bool
	// IsCopying means that the KV cache is being copied to the replica.
	IsCopying bool
	// KnownSince is when the estimator first counted the generation at its
	// replica. It is set by the estimator.
	KnownSince time.Time
}

// Tokens returns the size of the generation's KV cache.
func (g Generation) Tokens() int {
	return g.PromptTokens + g.GeneratedTokens
}

// Load is the estimated load of one replica. The token counts are KV cache.
type Load struct {
	// Running and Waiting are numbers of generations.
	Running, Waiting int
	// Decoding is how many of the running generations have had their first event.
	Decoding int
	// UsedTokens is the KV cache in use.
	UsedTokens int
	// RemainingTokens is the sum of the output tokens that the running
	// generations are still expected to produce.
	RemainingTokens float64
	// CapacityTokens is the size of the KV cache; zero if unknown.
	CapacityTokens int
	// PendingPrefillTokens is the number of prompt tokens that were sent to the
	// replica and are not prefilled yet: no event of their generation has arrived.
	PendingPrefillTokens int
	// CopyTokens is the KV cache that is being copied to the replica.
	CopyTokens int
	// IsRefusing means that the replica has just refused a request for lack of free
	// capacity.
	IsRefusing bool
	// Age is the time since the last load report; negative if there is none.
	Age time.Duration
}

// report is the last load report of a replica.
type report struct {
	comfreyreplica.Report
	receivedAt time.Time
}

// peer holds the generations of another gateway, as of its last message.
type peer struct {
	generations map[string]*Generation
	receivedAt  time.Time
}

// addTo adds the generations to those at each replica.
func (p peer) addTo(m map[string][]*Generation) {
	for _, r := range p.generations {
		m[r.Replica] = append(m[r.Replica], r)
	}
}

// Cell is the state of another cell of gateways.
type Cell struct {
	// Loads are the loads that the cell's gateways estimate for some of the
	// replicas that they use.
	Loads map[string]Load
	// Generations are those that the cell's gateways have sent to replicas of
	// this gateway's cell.
	Generations []Generation
}

// cell holds the state of another cell, as of its last message.
type cell struct {
	loads map[string]Load
	peer
}

// Estimator combines the load reports of the replicas with the generations of
// this gateway and its peers. A generation that appears in a load report only
// (one that no known gateway sent) is counted at its reported size plus the
// growth since, or left out if it has probably finished. It is not safe for
// concurrent use.
type Estimator struct {
	remainingTokens func(generated int) float64
	reports         map[string]report
	generations     map[string]*Generation
	finished        map[string]time.Time
	refusals        map[string]time.Time
	peers           map[string]peer
	cells           map[string]cell
	// tokensPerEvent converts the event counts of load reports to tokens.
	tokensPerEvent int
}

// Config holds the settings of an Estimator. The zero value of each field
// selects its default.
type Config struct {
	// RemainingTokens returns the expected number of further output tokens of a
	// generation of an unknown gateway after the given number of output tokens;
	// always zero by default.
	RemainingTokens func(generated int) float64
	// TokensPerEvent is the number of tokens in an event; 4 by default.
	TokensPerEvent int
}

// NewEstimator returns an estimator without reports and generations.
func NewEstimator(c Config) *Estimator {
	if c.RemainingTokens == nil {
		c.RemainingTokens = func(int) float64 { return 0 }
	}
	if c.TokensPerEvent <= 0 {
		c.TokensPerEvent = 4
	}
	return &Estimator{
		remainingTokens: c.RemainingTokens, tokensPerEvent: c.TokensPerEvent,
		reports: map[string]report{}, generations: map[string]*Generation{}, finished: map[string]time.Time{}, refusals: map[string]time.Time{}, peers: map[string]peer{}, cells: map[string]cell{},
	}
}

// SetReport replaces a replica's load report.
func (e *Estimator) SetReport(now time.Time, replica string, r comfreyreplica.Report) {
	e.reports[replica] = report{r, now}
}

// Start adds a generation that is sent to a replica, or replaces one that
// continues at another replica.
func (e *Estimator) Start(now time.Time, g Generation) {
	delete(e.finished, g.ID)
	g.KnownSince = now
	e.generations[g.ID] = &g
}

// Progress updates the output tokens of a generation of this gateway. An
// unknown id changes nothing.
func (e *Estimator) Progress(id string, generated int, remaining float64) {
	if g, ok := e.generations[id]; ok {
		g.GeneratedTokens, g.RemainingTokens, g.IsDecoding = generated, remaining, true
	}
}

// Finish removes a generation of this gateway. An unknown id changes nothing.
func (e *Estimator) Finish(now time.Time, id string) {
	if _, ok := e.generations[id]; ok {
		delete(e.generations, id)
		e.finished[id] = now
	}
}

// Refused removes a generation that the replica refused for lack of free
// capacity.
func (e *Estimator) Refused(now time.Time, replica, id string) {
	e.Finish(now, id)
	e.refusals[replica] = now
}

// SetPeer replaces the generations of another gateway. Those that are no
// longer among them count as finished.
func (e *Estimator) SetPeer(now time.Time, gateway string, generations []Generation) {
	e.peers[gateway] = e.updatePeer(now, e.peers[gateway], generations)
}

// SetCell replaces the state of another cell. Generations that are no longer
// part of it count as finished.
func (e *Estimator) SetCell(now time.Time, name string, c Cell) {
	e.cells[name] = cell{loads: c.Loads, peer: e.updatePeer(now, e.cells[name].peer, c.Generations)}
}

// updatePeer returns a peer with new generations. Those that are no longer among
// them count as finished.
func (e *Estimator) updatePeer(now time.Time, old peer, generations []Generation) peer {
	p := peer{generations: make(map[string]*Generation, len(generations)), receivedAt: now}
	for _, r := range generations {
		r.KnownSince = now
		if o, ok := old.generations[r.ID]; ok && o.Replica == r.Replica {
			r.KnownSince = o.KnownSince
		}
		p.generations[r.ID] = &r
	}
	for id := range old.generations {
		if _, ok := p.generations[id]; !ok {
			e.finished[id] = now
		}
	}
	return p
}

// Generations returns the generations of this gateway, in no order.
func (e *Estimator) Generations() []Generation {
	l := make([]Generation, 0, len(e.generations))
	for _, r := range e.generations {
		l = append(l, *r)
	}
	return l
}

// CellGenerations returns the generations of this gateway and its peers, but not
// those of other cells, in no order.
func (e *Estimator) CellGenerations() []Generation {
	l := e.Generations()
	for _, p := range e.peers {
		for _, r := range p.generations {
			l = append(l, *r)
		}
	}
	return l
}

// Expire drops reports, peers, cells, refusals and finished generations whose
// retention has passed. The caller calls it about once a second.
func (e *Estimator) Expire(now time.Time) {
	for id, t := range e.finished {
		if now.Sub(t) > finishedRetention {
			delete(e.finished, id)
		}
	}
	for id, t := range e.refusals {
		if now.Sub(t) > refusalPeriod {
			delete(e.refusals, id)
		}
	}
	for id, r := range e.reports {
		if now.Sub(r.receivedAt) > reportRetention {
			delete(e.reports, id)
		}
	}
	for a, p := range e.peers {
		if now.Sub(p.receivedAt) > peerRetention {
			delete(e.peers, a)
		}
	}
	for a, c := range e.cells {
		if now.Sub(c.receivedAt) > cellRetention {
			delete(e.cells, a)
		}
	}
}

// Loads returns a function that estimates the load of a replica. The function
// is valid until the estimator is next changed.
func (e *Estimator) Loads(now time.Time) func(replica string) Load {
	generations := e.byReplica()
	return func(replica string) Load { return e.load(now, replica, generations[replica]) }
}

// SummarizedLoads returns a function that estimates the load of a replica from
// what another cell reports: the reported load, and the generations of this cell
// that are too new to be counted in it. It reports false for a replica of which
// no cell has reported the load lately. The function is valid until the
// estimator is next changed.
func (e *Estimator) SummarizedLoads(now time.Time) func(replica string) (Load, bool) {
	generations := e.byReplica()
	type summary struct {
		load Load
		at   time.Time
	}
	latest := map[string]summary{}
	for _, c := range e.cells {
		if now.Sub(c.receivedAt) > cellRetention {
			continue
		}
		for replica, l := range c.loads {
			if s, ok := latest[replica]; !ok || c.receivedAt.After(s.at) {
				latest[replica] = summary{l, c.receivedAt}
			}
		}
	}
	return func(replica string) (Load, bool) {
		s, ok := latest[replica]
		if !ok {
			return Load{}, false
		}
		l, at := s.load, s.at
		l.Age = now.Sub(at)
		for _, r := range generations[replica] {
			if r.KnownSince.After(at.Add(-summaryLag)) {
				l.add(*r)
			}
		}
		if t, ok := e.refusals[replica]; ok {
			l.IsRefusing = now.Sub(t) < refusalPeriod
		}
		return l, true
	}
}

// byReplica returns the generations of all gateways at each replica.
func (e *Estimator) byReplica() map[string][]*Generation {
	m := map[string][]*Generation{}
	for _, r := range e.generations {
		m[r.Replica] = append(m[r.Replica], r)
	}
	for _, p := range e.peers {
		p.addTo(m)
	}
	for _, c := range e.cells {
		c.addTo(m)
	}
	return m
}

// load estimates the load of a replica that has the given generations.
func (e *Estimator) load(now time.Time, replica string, generations []*Generation) Load {
	l := Load{Age: -1}
	if r, ok := e.reports[replica]; ok {
		e.addReport(&l, now, generations, r)
	}
	for _, r := range generations {
		l.add(*r)
	}
	if t, ok := e.refusals[replica]; ok {
		l.IsRefusing = now.Sub(t) < refusalPeriod
	}
	return l
}

// add counts a generation of a known gateway.
func (l *Load) add(g Generation) {
	l.Running++
	l.UsedTokens += g.Tokens()
	l.RemainingTokens += g.RemainingTokens
	switch {
	case g.IsCopying:
		l.CopyTokens += g.Tokens()
	case g.IsDecoding:
		l.Decoding++
	default:
		l.PendingPrefillTokens += g.PromptTokens
	}
}

// addReport adds the load that the report contains in excess of the given
// generations.
func (e *Estimator) addReport(l *Load, now time.Time, generations []*Generation, r report) {
	l.Age = now.Sub(r.receivedAt)
	l.CapacityTokens = r.CapacityTokens
	l.Waiting = r.Waiting
	growth := (l.Age + reportLag).Seconds() * tokensPerSecond
	counted := 0
	listed := make(map[string]bool, len(r.Generations))
	for _, u := range r.Generations {
		counted += u.Tokens
		listed[u.ID] = true
		if e.isKnown(u.ID) {
			continue
		}
		rest := e.remainingTokens(u.Events * e.tokensPerEvent)
		if rest < growth/2 {
			continue // It has probably finished since.
		}
		l.Running++
		l.Decoding++
		l.UsedTokens += u.Tokens + int(growth)
		l.RemainingTokens += max(rest-growth, 0)
	}
	// A report does not list generations in prefill or being copied, although
	// its used tokens include their KV cache. The rest of the used tokens belongs
	// to generations that no known gateway sent.
	for _, u := range generations {
		if !listed[u.ID] {
			counted += u.Tokens()
		}
	}
	l.UsedTokens += max(r.UsedTokens-counted, 0)
}

// isKnown reports whether a known gateway sent the generation, and it is
// running or finished within finishedRetention.
func (e *Estimator) isKnown(id string) bool {
	if _, ok := e.generations[id]; ok {
		return true
	}
	for _, p := range e.peers {
		if _, ok := p.generations[id]; ok {
			return true
		}
	}
	for _, c := range e.cells {
		if _, ok := c.generations[id]; ok {
			return true
		}
	}
	_, ok := e.finished[id]
	return ok
}
