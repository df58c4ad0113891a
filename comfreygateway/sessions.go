package comfreygateway

import (
	"sync"
	"time"

	"comfreyridge.example/comfreyridge/comfreyfleet"
	"comfreyridge.example/comfreyridge/comfreyproto"
	"comfreyridge.example/comfreyridge/comfreystream"
	"comfreyridge.example/comfreyridge/comfreyverdict"
)

// sessions holds the sessions whose generation is being executed at a sidecar,
// with their leases. It is safe for concurrent use.
type sessions struct {
	mu     sync.Mutex
	leases map[*session]lease
}

// lease identifies the generation whose lease a session renews, and its
// sidecar.
type lease struct {
	member     comfreyfleet.Member
	generation comfreystream.GenerationID
}

func newSessions() *sessions {
	return &sessions{leases: map[*session]lease{}}
}

// add starts the lease renewals for the generation of s. A second call replaces
// the lease.
func (t *sessions) add(s *session) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.leases[s] = lease{member: s.member, generation: s.sequencer.Generation()}
}

func (t *sessions) remove(s *session) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.leases, s)
}

// report is a message to one sidecar that renews all leases there. A probe is a
// report without renewals.
type report struct {
	member      comfreyfleet.Member
	incarnation uint64
	renewals    []*comfreyproto.Renewal
	// scarce marks a probe of startScarceProbes.
	scarce bool
}

// leaseReports returns one report for each sidecar process that executes a
// generation for this gateway.
func (t *sessions) leaseReports() []report {
	type sidecar struct {
		host        string
		incarnation uint64
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	index := map[sidecar]int{}
	var reports []report
	for s, l := range t.leases {
		k := sidecar{l.generation.Host, l.generation.Incarnation}
		i, ok := index[k]
		if !ok {
			i = len(reports)
			index[k] = i
			reports = append(reports, report{member: l.member, incarnation: k.incarnation})
		}
		reports[i].renewals = append(reports[i].renewals, &comfreyproto.Renewal{Counter: l.generation.Counter, Seq: s.lastRelayedSeq.Load()})
	}
	return reports
}

// RequestSummary describes a generation request that ended, for traces and
// logs. It is an immutable value.
type RequestSummary struct {
	// RequestID is the id of the request.
	RequestID string
	// Customer and Service are the names of the customer and the requested
	// service.
	Customer, Service string
	// DataCentre is the data centre of the gateway.
	DataCentre string
	// Host is the host of the last attempt; empty if no upstream was chosen.
	Host string
	// AcceptedAt is when the gateway accepted the request.
	AcceptedAt time.Time
	// Duration is the time from AcceptedAt to the end.
	Duration time.Duration
	// FirstToken is the time from AcceptedAt to the first token; 0 if there was
	// none.
	FirstToken time.Duration
	// LongestStall is the longest time without a token, which includes the time to
	// the first.
	LongestStall time.Duration
	// PromptBytes is the size of the request body.
	PromptBytes int
	// MaxTokens is the caller's limit on output tokens; 0 if it set none.
	MaxTokens int
	// Prefix is the hash of the first PrefixBytes bytes of the prompt; 0 if the
	// prompt is shorter.
	Prefix uint64
	// Tokens is the number of output tokens that were relayed.
	Tokens int
	// Attempts is the number of attempts.
	Attempts int
	// Outcome is how the request ended.
	Outcome comfreystream.Outcome
	// Error holds the verdict and the reason; the reason is ReasonAccepted if the
	// response is complete.
	Error comfreyverdict.Error
}

func (s *session) summary(e comfreyverdict.Error, o comfreystream.Outcome) RequestSummary {
	q := s.request
	return RequestSummary{
		RequestID:    q.id,
		Customer:     q.customer.Name,
		Service:      q.route.Service.Name,
		DataCentre:   s.gateway.config.DataCentre,
		Host:         s.member.Host,
		AcceptedAt:   s.acceptedAt,
		Duration:     s.gateway.config.Now().Sub(s.acceptedAt),
		FirstToken:   s.firstToken,
		LongestStall: s.longestStall,
		PromptBytes:  len(q.body),
		MaxTokens:    q.maxTokens,
		Prefix:       q.prefix,
		Tokens:       s.tokenCount,
		Attempts:     int(s.attempt) + 1,
		Outcome:      o,
		Error:        e,
	}
}

// logFields returns the fields of the decision record.
func (r RequestSummary) logFields() map[string]any {
	return map[string]any{
		"customer":    r.Customer,
		"service":     r.Service,
		"host":        r.Host,
		"outcome":     r.Outcome.String(),
		"verdict":     r.Error.Verdict.String(),
		"detail":      r.Error.Detail,
		"took":        r.Duration,
		"first-token": r.FirstToken,
		"stall":       r.LongestStall,
		"tokens":      r.Tokens,
		"attempts":    r.Attempts,
	}
}
