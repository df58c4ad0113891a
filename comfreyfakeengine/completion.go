package comfreyfakeengine

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
)

// The finish reasons of the protocol.
const (
	finishStop   = "stop"
	finishLength = "length"
)

// completion is the part of a request body that the stand-in reads.
type completion struct {
	Model               string          `json:"model"`
	Prompt              json.RawMessage `json:"prompt"`
	Messages            json.RawMessage `json:"messages"`
	Stream              bool            `json:"stream"`
	MaxTokens           int             `json:"max_tokens"`
	MaxCompletionTokens int             `json:"max_completion_tokens"`
	FakeLength          int             `json:"fake_length"`
}

// prompt returns the bytes that stand for the prompt.
func (c completion) prompt() []byte {
	if len(c.Messages) > 0 {
		return c.Messages
	}
	return c.Prompt
}

func (e *Engine) serveCompletion(w http.ResponseWriter, r *http.Request) {
	b, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if tooLarge := (*http.MaxBytesError)(nil); errors.As(err, &tooLarge) {
		writeError(w, http.StatusRequestEntityTooLarge, "body too large")
		return
	}
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	var c completion
	err = json.Unmarshal(b, &c)
	if err != nil || len(c.prompt()) == 0 {
		writeError(w, http.StatusBadRequest, "not a completion request")
		return
	}
	g := e.newGeneration(r, c)
	if g.usedTokens() >= e.config.CapacityTokens {
		writeError(w, http.StatusBadRequest, "the prompt exceeds the token memory")
		return
	}
	e.accept(g)
	if c.Stream {
		e.serveStream(w, r, g, 0)
		return
	}
	e.serveWhole(w, r, g)
}

// newGeneration returns a generation that the engine has not taken yet.
func (e *Engine) newGeneration(r *http.Request, c completion) *generation {
	p := c.prompt()
	model, _ := json.Marshal(c.Model)
	priority, _ := strconv.Atoi(r.Header.Get("X-Priority"))
	g := &generation{
		request:      r.Header.Get("X-Request-Id"),
		chat:         strings.HasPrefix(r.URL.Path, "/v1/chat/"),
		model:        string(model),
		priority:     priority,
		promptTokens: (len(p) + bytesPerToken - 1) / bytesPerToken,
		blocks:       hashBlocks(p),
		length:       c.FakeLength,
		finish:       finishStop,
		poison:       isPoison(p),
	}
	if g.length <= 0 {
		g.length = drawLength(e.config.Seed, p, e.config.MedianTokens)
	}
	if n := max(c.MaxTokens, c.MaxCompletionTokens); n > 0 && n < g.length {
		g.length = n
		g.finish = finishLength
	}
	g.uncomputed = g.promptTokens
	return g
}

// accept takes a generation into the queue.
func (e *Engine) accept(g *generation) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.counter++
	g.arrival = e.counter
	g.id = fmt.Sprintf("%s-%d", e.identity, e.counter)
	g.mark = Mark(g.id)
	e.generations[g.id] = g
	e.note(g.request, func(r *RunRecord) {
		r.Accepted++
		r.Generations = append(r.Generations, g.id)
	})
	e.batch.enqueue(g)
	e.poke()
}
