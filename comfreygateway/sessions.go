package comfreygateway

import (
	"sync"
	"time"

	"comfreyridge.example/comfreyridge/comfreyfleet"
	"comfreyridge.example/comfreyridge/comfreyproto"
	"comfreyridge.example/comfreyridge/comfreystream"
	"comfreyridge.example/comfreyridge/comfreyverdict"
)

// sessions holds the sessions that a sidecar runs a generation for. It is safe
// for concurrent use.
type sessions struct {
	mu   sync.Mutex
	open map[*session]lease
}

// lease says which generation a session renews, and where.
type lease struct {
	member     comfreyfleet.Member
	generation comfreystream.GenerationID
}

func newSessions() *sessions {
	return &sessions{open: map[*session]lease{}}
}

// add makes the leases of the session's generation be renewed.
func (t *sessions) add(s *session) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.open[s] = lease{member: s.member, generation: s.sequencer.Generation()}
}

func (t *sessions) remove(s *session) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.open, s)
}

// renewal is one report that renews all leases at one sidecar.
type renewal struct {
	member      comfreyfleet.Member
	incarnation uint64
	renewals    []*comfreyproto.Renewal
}

// renewals returns one report for each sidecar that runs something for this
// gateway.
func (t *sessions) renewals() []renewal {
	type sidecar struct {
		host        string
		incarnation uint64
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	index := map[sidecar]int{}
	var reports []renewal
	for s, l := range t.open {
		k := sidecar{l.generation.Host, l.generation.Incarnation}
		i, ok := index[k]
		if !ok {
			i = len(reports)
			index[k] = i
			reports = append(reports, renewal{member: l.member, incarnation: k.incarnation})
		}
		reports[i].renewals = append(reports[i].renewals, &comfreyproto.Renewal{Counter: l.generation.Counter, Seq: s.relayed.Load()})
	}
	return reports
}

// RequestSummary describes a request that ended, for traces and logs. It is an
// immutable value.
type RequestSummary struct {
	// RequestID is the id of the request.
	RequestID string
	// Customer and Service say whose request it was and what for.
	Customer, Service string
	// DataCentre is that of the gateway.
	DataCentre string
	// Host ran the request last; empty if none did.
	Host string
	// AcceptedAt is when the request was accepted.
	AcceptedAt time.Time
	// Duration is the time from then to the end.
	Duration time.Duration
	// FirstToken is the time to the first token; 0 if there was none.
	FirstToken time.Duration
	// LongestStall is the longest time in which nothing arrived.
	LongestStall time.Duration
	// PromptBytes is the size of the request's body.
	PromptBytes int
	// MaxTokens is the caller's limit; 0 if it set none.
	MaxTokens int
	// Prefix identifies the start of the prompt; 0 if it is too short.
	Prefix uint64
	// Tokens is how many tokens were relayed.
	Tokens int
	// Attempts is how many upstreams were asked.
	Attempts int
	// Outcome is how the request ended.
	Outcome comfreystream.Outcome
	// Error holds the verdict, and the reason unless the answer is complete.
	Error comfreyverdict.Error
}

func (s *session) completed(e comfreyverdict.Error, o comfreystream.Outcome) RequestSummary {
	q := s.request
	return RequestSummary{
		RequestID:    q.id,
		Customer:     q.customer.Name,
		Service:      q.route.Service.Name,
		DataCentre:   s.gateway.config.DataCentre,
		Host:         s.member.Host,
		AcceptedAt:   s.began,
		Duration:     s.gateway.config.Now().Sub(s.began),
		FirstToken:   s.firstToken,
		LongestStall: s.stall,
		PromptBytes:  len(q.body),
		MaxTokens:    q.maxTokens,
		Prefix:       q.prefix,
		Tokens:       s.tokens,
		Attempts:     int(s.attempt) + 1,
		Outcome:      o,
		Error:        e,
	}
}

// figures returns the values of the decision record.
func (c RequestSummary) figures() map[string]any {
	return map[string]any{
		"customer":    c.Customer,
		"service":     c.Service,
		"host":        c.Host,
		"outcome":     c.Outcome.String(),
		"verdict":     c.Error.Verdict.String(),
		"detail":      c.Error.Detail,
		"took":        c.Duration,
		"first-token": c.FirstToken,
		"stall":       c.LongestStall,
		"tokens":      c.Tokens,
		"attempts":    c.Attempts,
	}
}
