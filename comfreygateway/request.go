package comfreygateway

import (
	"crypto/rand"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"comfreyridge.example/comfreyridge/comfreyconfig"
	"comfreyridge.example/comfreyridge/comfreyverdict"
)

const (
	// requestIDBytes is the size of a request id before it is encoded as hex.
	requestIDBytes = 12
	// PrefixBytes is the length of the prompt prefix that is hashed for
	// prefix-affinity routing.
	PrefixBytes = 256
	// maxUnroutedBodyBytes bounds a request body whose service is not known yet.
	maxUnroutedBodyBytes = 16 << 20
)

func newRequestID() string {
	b := make([]byte, requestIDBytes)
	_, _ = rand.Read(b)
	return hex.EncodeToString(b)
}

// generationRequest is a caller's request for a generation.
type generationRequest struct {
	id       string
	path     string
	body     []byte
	customer comfreyconfig.Customer
	route    comfreyconfig.Route
	stream   bool
	chat     bool
	// maxTokens is the caller's limit on output tokens, 0 if it set none.
	maxTokens  int
	prefix     uint64
	deadline   time.Time
	retryToken retryToken
}

// generationBody holds the members of a request body that the gateway uses. The
// body is passed to the engine unchanged.
type generationBody struct {
	Model               string          `json:"model"`
	Stream              bool            `json:"stream"`
	MaxTokens           *int            `json:"max_tokens"`
	MaxCompletionTokens *int            `json:"max_completion_tokens"`
	Prompt              json.RawMessage `json:"prompt"`
	Messages            json.RawMessage `json:"messages"`
}

// tokenLimit returns the caller's limit on output tokens, 0 if it set none.
// max_completion_tokens takes precedence over max_tokens.
func (b generationBody) tokenLimit() (int, error) {
	n := b.MaxTokens
	if b.MaxCompletionTokens != nil {
		n = b.MaxCompletionTokens
	}
	if n == nil {
		return 0, nil
	}
	if *n < 1 {
		return 0, fmt.Errorf("max_tokens must be at least 1")
	}
	return *n, nil
}

// authenticate returns the customer that the bearer key belongs to.
func (g *Gateway) authenticate(r *http.Request) (comfreyconfig.Customer, error) {
	k, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	if !ok || k == "" {
		return comfreyconfig.Customer{}, comfreyverdict.NotRun(comfreyverdict.ReasonUnauthorized, "the header Authorization: Bearer is missing")
	}
	c, ok := g.config.Settings().CustomerByKey(k)
	if !ok {
		return comfreyconfig.Customer{}, comfreyverdict.NotRun(comfreyverdict.ReasonUnauthorized, "the key is not known")
	}
	return c, nil
}

// beginRequest assigns an id to a request and authenticates its customer. It
// returns false if it has refused the request.
func (g *Gateway) beginRequest(w http.ResponseWriter, r *http.Request) (id string, c comfreyconfig.Customer, ok bool) {
	id = newRequestID()
	w.Header().Set(HeaderRequestID, id)
	c, err := g.authenticate(r)
	if err != nil {
		g.refuse(w, id, err)
		return id, c, false
	}
	return id, c, true
}

// readBody reads a request body of at most max bytes.
func readBody(w http.ResponseWriter, r *http.Request, max int) ([]byte, error) {
	b, err := io.ReadAll(http.MaxBytesReader(w, r.Body, int64(max)))
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return nil, comfreyverdict.NotRun(comfreyverdict.ReasonBodyTooLarge, fmt.Sprintf("the body exceeds %d bytes", max))
	}
	if err != nil {
		return nil, comfreyverdict.NotRun(comfreyverdict.ReasonBadRequest, "the body could not be read: "+err.Error())
	}
	return b, nil
}

// parseGeneration reads and validates a request for a generation.
func (g *Gateway) parseGeneration(w http.ResponseWriter, r *http.Request, id string, c comfreyconfig.Customer) (generationRequest, error) {
	q := generationRequest{id: id, path: r.URL.Path, customer: c, chat: strings.Contains(r.URL.Path, "/chat/")}
	b, err := readBody(w, r, maxUnroutedBodyBytes)
	if err != nil {
		return q, err
	}
	var m generationBody
	if err := json.Unmarshal(b, &m); err != nil {
		return q, comfreyverdict.NotRun(comfreyverdict.ReasonBadRequest, "malformed JSON: "+err.Error())
	}
	n, err := m.tokenLimit()
	if err != nil {
		return q, comfreyverdict.NotRun(comfreyverdict.ReasonBadRequest, err.Error())
	}
	if m.Model == "" {
		return q, comfreyverdict.NotRun(comfreyverdict.ReasonBadRequest, "the member \"model\" is missing; it names the service")
	}
	route, ok := g.config.Settings().Route(c.Name, m.Model, r.URL.Path)
	if !ok || route.Service.Kind != comfreyconfig.ServiceKindGeneration {
		return q, comfreyverdict.NotRun(comfreyverdict.ReasonUnknownService, fmt.Sprintf("no generation service %q", m.Model))
	}
	if len(b) > route.Service.MaxBodyBytes {
		return q, comfreyverdict.NotRun(comfreyverdict.ReasonBodyTooLarge, fmt.Sprintf("the body exceeds %d bytes", route.Service.MaxBodyBytes))
	}
	q.body, q.stream, q.maxTokens, q.route = b, m.Stream, n, route
	q.prefix = prefixHash(m)
	q.retryToken = parseRetryToken(r.Header.Get(HeaderRetryToken))
	q.deadline, err = g.deadline(r, route.Service)
	return q, err
}

// prefixHash returns the hash of the first PrefixBytes bytes of the prompt or
// messages, 0 if they are shorter.
func prefixHash(m generationBody) uint64 {
	p := m.Prompt
	if len(m.Messages) > 0 {
		p = m.Messages
	}
	if len(p) < PrefixBytes {
		return 0
	}
	return xxhash.Sum64(p[:PrefixBytes])
}

// deadline returns the deadline of a request: the timeout of the service, or
// that of the header Comfrey-Timeout if it is shorter, from now.
func (g *Gateway) deadline(r *http.Request, v comfreyconfig.Service) (time.Time, error) {
	d := v.Deadline
	if s := r.Header.Get(HeaderTimeout); s != "" {
		t, err := time.ParseDuration(s)
		if err != nil || t <= 0 {
			return time.Time{}, comfreyverdict.NotRun(comfreyverdict.ReasonBadRequest, "the header "+HeaderTimeout+" is not a positive duration such as 30s")
		}
		d = min(d, t)
	}
	return g.config.Now().Add(d), nil
}
