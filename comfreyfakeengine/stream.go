package comfreyfakeengine

import (
	"net/http"
	"strconv"
	"time"

	"github.com/go-chi/chi/v5"
)

// writeTokens is how many tokens one write carries at most.
const writeTokens = 64

// attach makes the caller the reader of g. An earlier reader's stream ends.
func (e *Engine) attach(g *generation) chan struct{} {
	e.mu.Lock()
	defer e.mu.Unlock()
	if g.wake != nil {
		close(g.wake)
	}
	if g.linger != nil {
		g.linger.Stop()
		g.linger = nil
	}
	g.wake = make(chan struct{}, 1)
	return g.wake
}

// detach ends the reading of g. Unless another reader comes within the linger
// time, g is forgotten, and cancelled if it still runs.
func (e *Engine) detach(g *generation, wake chan struct{}) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if g.wake != wake {
		return
	}
	g.wake = nil
	g.linger = time.AfterFunc(e.config.Linger, func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		if g.wake == nil {
			e.drop(g, phaseCancelled)
			delete(e.generations, g.id)
		}
	})
}

// progress returns how many tokens g has emitted, and its phase.
func (e *Engine) progress(g *generation) (int, phase) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return g.emitted, g.phase
}

// await blocks until g may have made progress. It reports false if the reader
// has gone or was replaced.
func await(r *http.Request, wake chan struct{}) bool {
	select {
	case _, ok := <-wake:
		return ok
	case <-r.Context().Done():
		return false
	}
}

// serveStream writes the tokens of g that follow the first sent ones.
func (e *Engine) serveStream(w http.ResponseWriter, r *http.Request, g *generation, sent int) {
	wake := e.attach(g)
	defer e.detach(g, wake)
	writeHeader(w, g, "text/event-stream")
	c := http.NewResponseController(w)
	var b []byte
	for {
		n, p := e.progress(g)
		last := min(n, sent+writeTokens)
		b = b[:0]
		for ; sent < last; sent++ {
			b = appendEvent(b, g, sent)
		}
		if sent >= n && p == phaseFinished {
			b = appendFinish(b, g, n)
		}
		if !e.write(w, c, b) {
			panic(http.ErrAbortHandler)
		}
		if sent < n {
			continue
		}
		if p == phaseFinished {
			return
		}
		if p.over() || !await(r, wake) {
			panic(http.ErrAbortHandler)
		}
	}
}

// write sends b, or the headers if b is empty, at once. It reports false if
// the reader has gone or is too slow.
func (e *Engine) write(w http.ResponseWriter, c *http.ResponseController, b []byte) bool {
	if e.config.WriteTimeout > 0 {
		_ = c.SetWriteDeadline(time.Now().Add(e.config.WriteTimeout))
	}
	_, err := w.Write(b)
	return err == nil && c.Flush() == nil
}

// serveWhole answers a call that does not stream.
func (e *Engine) serveWhole(w http.ResponseWriter, r *http.Request, g *generation) {
	wake := e.attach(g)
	defer e.detach(g, wake)
	for {
		n, p := e.progress(g)
		if p == phaseFinished {
			writeHeader(w, g, "application/json")
			_, _ = w.Write(appendWhole(nil, g, n))
			return
		}
		if p.over() || !await(r, wake) {
			panic(http.ErrAbortHandler)
		}
	}
}

func writeHeader(w http.ResponseWriter, g *generation, contentType string) {
	h := w.Header()
	h.Set("Content-Type", contentType)
	h.Set("Cache-Control", "no-store")
	h.Set("X-Generation-Id", g.id)
	h.Set("X-Prompt-Tokens", strconv.Itoa(g.promptTokens))
	w.WriteHeader(http.StatusOK)
}

// find returns the generation that the path names.
func (e *Engine) find(r *http.Request) *generation {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.generations[chi.URLParam(r, "id")]
}

func (e *Engine) serveResume(w http.ResponseWriter, r *http.Request) {
	g := e.find(r)
	if g == nil {
		writeError(w, http.StatusNotFound, "no such generation")
		return
	}
	after, err := strconv.Atoi(r.URL.Query().Get("after"))
	n, p := e.progress(g)
	if err != nil || after < 0 || after > n {
		writeError(w, http.StatusBadRequest, "after must be a number of tokens already emitted")
		return
	}
	if p == phaseCancelled {
		writeError(w, http.StatusGone, "the generation was cancelled")
		return
	}
	e.serveStream(w, r, g, after)
}

func (e *Engine) serveCancel(w http.ResponseWriter, r *http.Request) {
	g := e.find(r)
	if g == nil {
		writeError(w, http.StatusNotFound, "no such generation")
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.drop(g, phaseCancelled)
	w.WriteHeader(http.StatusNoContent)
}
