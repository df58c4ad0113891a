package comfreyreplay

import (
	"bufio"
	"fmt"
	"io"
	"strings"
	"time"
)

const (
	// TraceHeader is the first line of a trace.
	TraceHeader = "# comfreyridge-trace 1"
	// defaultPatience holds for a request that states none.
	defaultPatience = 60 * time.Second
)

// ReadTrace reads a trace. Each error is a TraceError with its line, or an
// error of r. Records must be in the order of their times.
func ReadTrace(r io.Reader) ([]Record, error) {
	var records []Record
	s := bufio.NewScanner(r)
	for n := 1; s.Scan(); n++ {
		line := strings.TrimSpace(s.Text())
		if n == 1 && line != TraceHeader {
			return nil, TraceError{Line: n, Detail: fmt.Sprintf("want the header %q", TraceHeader)}
		}
		if line == "" || strings.HasPrefix(line, "#") {
			continue
		}
		t, err := parseRecord(n, line)
		if err != nil {
			return nil, err
		}
		if len(records) > 0 && t.At < records[len(records)-1].At {
			return nil, TraceError{Line: n, Field: "at", Detail: "earlier than the line before"}
		}
		records = append(records, t)
	}
	return records, s.Err()
}

// parseRecord parses line n.
func parseRecord(n int, line string) (Record, error) {
	t := Record{}
	seen := map[string]bool{}
	for _, w := range strings.Fields(line) {
		name, value, ok := splitField(w)
		if !ok {
			return t, TraceError{Line: n, Detail: fmt.Sprintf("want name=value, not %q", w)}
		}
		f, ok := fieldNamed(name)
		if !ok {
			return t, TraceError{Line: n, Field: name, Detail: "unknown field"}
		}
		if seen[name] {
			return t, TraceError{Line: n, Field: name, Detail: "given twice"}
		}
		seen[name] = true
		if err := f.set(&t, value); err != nil {
			return t, TraceError{Line: n, Field: name, Detail: err.Error()}
		}
	}
	return t.checked(n, seen)
}

// checked checks what one field alone cannot show.
func (r Record) checked(n int, seen map[string]bool) (Record, error) {
	if r.Event != EventNone {
		if r.Event != EventReplicaLost && r.Event != EventReportsLost {
			return r, TraceError{Line: n, Field: "event", Detail: fmt.Sprintf("unknown event %q", r.Event)}
		}
		return r, nil
	}
	for _, f := range fields {
		if f.required && !seen[f.name] {
			return r, TraceError{Line: n, Field: f.name, Detail: "missing"}
		}
	}
	if r.AnswerTokens < 1 {
		return r, TraceError{Line: n, Field: "answer-tokens", Detail: "want at least 1"}
	}
	if r.PrefixTokens > r.PromptTokens {
		return r, TraceError{Line: n, Field: "prefix-tokens", Detail: "longer than the prompt"}
	}
	if r.Patience == 0 {
		r.Patience = defaultPatience
	}
	return r, nil
}

// WriteTrace writes a trace that ReadTrace reads back. Each comment becomes a
// line of its own.
func WriteTrace(w io.Writer, records []Record, comments ...string) error {
	b := bufio.NewWriter(w)
	fmt.Fprintln(b, TraceHeader)
	for _, c := range comments {
		fmt.Fprintln(b, "#", c)
	}
	for _, r := range records {
		fmt.Fprintln(b, r)
	}
	return b.Flush()
}

// String returns the line of r in a trace, without the line feed.
func (r Record) String() string {
	var words []string
	for _, f := range fields {
		if r.Event != EventNone && f.required && f.name != "at" {
			continue
		}
		if s := f.get(&r); s != "" {
			words = append(words, f.name+"="+s)
		}
	}
	return strings.Join(words, " ")
}
