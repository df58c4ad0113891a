package comfreyprocess

import (
	"fmt"
	"os"
	"slices"
	"strconv"
	"sync"
	"time"

	"comfreyridge.example/comfreyridge/comfreygateway"
	"comfreyridge.example/comfreyridge/comfreyreplay"
)

const (
	// maxTraceRecords bounds the requests that a trace keeps; later ones are
	// left out.
	maxTraceRecords = 200_000
	// traceBytesPerToken estimates the prompt's tokens from its bytes.
	traceBytesPerToken = 4
	// tracePatience is the patience of a recorded caller, who waited for as
	// long as the request took.
	tracePatience = time.Minute
)

// trace collects the requests of a gateway and writes them as a replayable
// trace when the gateway stops. The zero value records nothing. It is safe for
// concurrent use.
type trace struct {
	path string

	mu      sync.Mutex
	began   time.Time
	records []comfreyreplay.Record
}

// openTrace prepares a trace; an empty path records nothing.
func openTrace(path string) (*trace, error) {
	t := &trace{path: path, began: time.Now()}
	if path == "" {
		return t, nil
	}
	f, err := os.Create(path)
	if err != nil {
		return nil, fmt.Errorf("comfreyprocess: trace: %w", err)
	}
	return t, f.Close()
}

// write adds one request that ended.
func (t *trace) write(c comfreygateway.RequestSummary) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.path == "" || len(t.records) >= maxTraceRecords {
		return
	}
	r := comfreyreplay.Record{
		At:           max(0, c.AcceptedAt.Sub(t.began)),
		Request:      c.RequestID,
		Customer:     c.Customer,
		Service:      c.Service,
		DataCentre:   c.DataCentre,
		PromptTokens: max(1, c.PromptBytes/traceBytesPerToken),
		MaxTokens:    c.MaxTokens,
		AnswerTokens: max(1, c.Tokens),
		Patience:     tracePatience,
	}
	if c.Prefix != 0 {
		r.Prefix = strconv.FormatUint(c.Prefix, 16)
		r.PrefixTokens = min(r.PromptTokens, comfreygateway.PrefixBytes/traceBytesPerToken)
	}
	t.records = append(t.records, r)
}

// close writes the records in the order of their times.
func (t *trace) close() {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.path == "" {
		return
	}
	slices.SortStableFunc(t.records, func(a, b comfreyreplay.Record) int { return int(a.At - b.At) })
	f, err := os.Create(t.path)
	if err != nil {
		return
	}
	_ = comfreyreplay.WriteTrace(f, t.records, "recorded by a gateway")
	_ = f.Close()
}
