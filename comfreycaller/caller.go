// Package comfreycaller is a small client of the callers' interface. It streams
// generations, resumes them at any gateway, and places orders with tickets.
package comfreycaller

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"comfreyridge.example/comfreyridge/comfreyconnection"
	"comfreyridge.example/comfreyridge/comfreyverdict"
)

// idleConnTimeout bounds how long a connection of the default client stays unused.
const idleConnTimeout = 90 * time.Second

// maxLineBytes bounds a line of an event stream.
const maxLineBytes = 1 << 20

// defaultClient is http.DefaultClient, except that it refuses broken responses.
var defaultClient = &http.Client{Transport: comfreyconnection.NewTransport(&http.Transport{
	Proxy: http.ProxyFromEnvironment, ForceAttemptHTTP2: true, IdleConnTimeout: idleConnTimeout,
})}

// Caller calls gateways with one customer's key. The zero value of HTTP selects
// a client that refuses broken responses. It is safe for concurrent use if its client is.
type Caller struct {
	// Key is the customer's bearer key.
	Key string
	// HTTP sends the requests.
	HTTP   *http.Client
	header http.Header
}

// HeaderRetryToken names the refusal whose time to return a caller follows.
const HeaderRetryToken = "Comfrey-Retry-Token"

// WithHeader returns a copy of c that sends further headers with each request.
func (c Caller) WithHeader(h http.Header) Caller {
	c.header = h
	return c
}

// Event is one event of a stream.
type Event struct {
	// ID is the event's id, for Result.LastEventID.
	ID string
	// Data is the engine's chunk.
	Data []byte
}

// Result is how one call went.
type Result struct {
	// RequestID is the gateway's id of the request.
	RequestID string
	// RetryToken is to be sent back when the caller returns as it was told.
	RetryToken string
	// LastEventID resumes the stream.
	LastEventID string
	// Text is the text of the chunks that arrived.
	Text string
	// Tokens is how many chunks carried text.
	Tokens int
	// Complete says that the explicit end arrived.
	Complete bool
	// Error is the typed failure; it means nothing if Complete is true.
	Error comfreyverdict.Error
	// FirstToken is the time to the first chunk.
	FirstToken time.Duration
	// Stall is the longest time in which nothing arrived.
	Stall time.Duration
	// Took is the whole time.
	Took time.Duration
}

// Body returns the body of a streaming completion request.
func Body(service, prompt string, maxTokens int) []byte {
	b, err := json.Marshal(struct {
		Model     string `json:"model"`
		Prompt    string `json:"prompt"`
		MaxTokens int    `json:"max_tokens,omitempty"`
		Stream    bool   `json:"stream"`
	}{service, prompt, maxTokens, true})
	if err != nil {
		panic("comfreycaller: " + err.Error())
	}
	return b
}

// Stream posts a completion body to a gateway and reads its events until the
// end. A body is not needed to resume. The function onEvent may be nil.
func (c Caller) Stream(ctx context.Context, gateway string, body []byte, lastEventID string, onEvent func(e Event)) Result {
	began := time.Now()
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, gateway+"/v1/completions", bytes.NewReader(body))
	if err != nil {
		return Result{Error: comfreyverdict.NotRun(comfreyverdict.ReasonBadRequest, err.Error())}
	}
	r.Header.Set("Content-Type", "application/json")
	if lastEventID != "" {
		r.Header.Set("Last-Event-ID", lastEventID)
	}
	resp, err := c.Do(r)
	if err != nil {
		return Result{LastEventID: lastEventID, Error: comfreyverdict.MayHaveRun(comfreyverdict.ReasonConnectionLost, err.Error())}
	}
	defer func() { _ = resp.Body.Close() }()
	s := reader{result: Result{RequestID: resp.Header.Get("Comfrey-Request-Id"), LastEventID: lastEventID}, began: began, last: began, onEvent: onEvent}
	if resp.StatusCode != http.StatusOK {
		s.result.Error = RefusalOf(resp)
		s.result.RetryToken = resp.Header.Get(HeaderRetryToken)
	} else {
		s.read(resp.Body)
	}
	s.result.Took = time.Since(began)
	return s.result
}

// Do sends a request with the customer's key.
func (c Caller) Do(r *http.Request) (*http.Response, error) {
	for name, values := range c.header {
		r.Header[name] = values
	}
	r.Header.Set("Authorization", "Bearer "+c.Key)
	h := c.HTTP
	if h == nil {
		h = defaultClient
	}
	return h.Do(r)
}

// RefusalOf returns the typed error of a response that is not a result.
func RefusalOf(resp *http.Response) comfreyverdict.Error {
	b, _ := io.ReadAll(io.LimitReader(resp.Body, maxLineBytes))
	e := parseError(b)
	if n, err := strconv.Atoi(resp.Header.Get("Retry-After")); err == nil {
		e.RetryAfter = time.Duration(n) * time.Second
	}
	return e
}

// parseError reads the body of a refusal. One that is not a refusal's leaves
// open whether the request ran.
func parseError(b []byte) comfreyverdict.Error {
	var m struct {
		Error struct {
			Message string `json:"message"`
			Verdict string `json:"verdict"`
			Reason  string `json:"reason"`
			Seconds int    `json:"retry-after-seconds"`
		} `json:"error"`
	}
	if err := json.Unmarshal(b, &m); err != nil {
		return comfreyverdict.MayHaveRun(comfreyverdict.ReasonInternal, fmt.Sprintf("unreadable refusal: %v", err))
	}
	v, _ := comfreyverdict.ParseVerdict(m.Error.Verdict)
	return comfreyverdict.Error{Verdict: v, Reason: comfreyverdict.Reason(m.Error.Reason), RetryAfter: time.Duration(m.Error.Seconds) * time.Second, Detail: m.Error.Message}
}

// reader reads one event stream.
type reader struct {
	result  Result
	began   time.Time
	last    time.Time
	onEvent func(e Event)
	text    strings.Builder
}

func (s *reader) read(body io.Reader) {
	s.result.Error = comfreyverdict.MayHaveRun(comfreyverdict.ReasonConnectionLost, "the stream ended without its end")
	b := bufio.NewScanner(body)
	b.Buffer(nil, maxLineBytes)
	var id, name string
	for b.Scan() {
		line := b.Text()
		switch {
		case strings.HasPrefix(line, "id: "):
			id = line[len("id: "):]
		case strings.HasPrefix(line, "event: "):
			name = line[len("event: "):]
		case strings.HasPrefix(line, "data: "):
			if s.data(id, name, []byte(line[len("data: "):])) {
				s.result.Text = s.text.String()
				return
			}
		}
	}
	s.result.Text = s.text.String()
}

// data takes the data of one event; it reports whether the stream is over.
func (s *reader) data(id, name string, data []byte) (done bool) {
	if name == "error" {
		s.result.Error = parseError(data)
		return true
	}
	now := time.Now()
	s.result.Stall = max(s.result.Stall, now.Sub(s.last))
	s.last = now
	s.result.LastEventID = id
	if string(data) == "[DONE]" {
		s.result.Complete = true
		return true
	}
	s.token(data, now)
	if s.onEvent != nil {
		s.onEvent(Event{ID: id, Data: data})
	}
	return false
}

func (s *reader) token(data []byte, now time.Time) {
	t := Text(data)
	if t == "" {
		return
	}
	if s.result.Tokens == 0 {
		s.result.FirstToken = now.Sub(s.began)
	}
	s.result.Tokens++
	s.text.WriteString(t)
}

// Text returns the text of one chunk, of the completion or the chat form.
func Text(data []byte) string {
	var m struct {
		Choices []struct {
			Text  string `json:"text"`
			Delta struct {
				Content string `json:"content"`
			} `json:"delta"`
		} `json:"choices"`
	}
	if json.Unmarshal(data, &m) != nil || len(m.Choices) == 0 {
		return ""
	}
	return m.Choices[0].Text + m.Choices[0].Delta.Content
}
