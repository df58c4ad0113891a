package twice

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	// eventInterval is what an event of four tokens takes at a step of 7 ms.
	eventInterval = 28 * time.Millisecond
	// tokenBytes and linkBytesPerSecond are tokenKvBytes and linkMbps of the example.
	tokenBytes         = 163840
	linkBytesPerSecond = 24000e6 / 8
	eventTokens        = 4
)

// engineRun is a generation that a model replica works on.
type engineRun struct {
	*run
	promptTokens int
	events       int
	// copied is how many tokens the destination has.
	copied int
	// isCopying means that a call to move it is in progress.
	isCopying bool
	// stop is closed when the run is stopped to be moved, and lose when its answer is
	// lost.
	stop, lose chan struct{}
	isLost     bool
}

// engine is a model replica that moves its generations.
type engine struct {
	*replica
	byAddress map[string]*engine
	// link is held by the transfer that is under way; others wait in order.
	link chan struct{}

	stateMu sync.Mutex
	state   string
	active  map[string]*engineRun
	// copies are those that lie here, by source and handle.
	copies map[string]bool
	// rejectsStops means that the calls that stop a run are turned away, and
	// onRejectedStop is called then.
	rejectsStops   bool
	onRejectedStop func(x *engineRun)
}

func newEngine(e *env, id, zone string, byAddress map[string]*engine) (*engine, error) {
	n := &engine{byAddress: byAddress, link: make(chan struct{}, 1), state: "ready", active: map[string]*engineRun{}, copies: map[string]bool{}}
	p, err := newReplica(e, id, "stone-llm", nil)
	if err != nil {
		return nil, err
	}
	n.replica = p
	p.control, p.serveRun, p.zone = n.serveControl, n.serve, zone
	byAddress[p.address] = n
	return n, nil
}

// transfer sends tokens to a replica in a zone, after the transfers before it. Between
// zones it takes twice as long.
func (n *engine) transfer(tokens int, zone string) {
	n.link <- struct{}{}
	seconds := float64(tokens) * tokenBytes / linkBytesPerSecond
	if zone != n.zone {
		seconds *= 2
	}
	time.Sleep(time.Duration(seconds * float64(time.Second)))
	<-n.link
}

func (n *engine) serveControl(w http.ResponseWriter, r *http.Request) bool {
	switch {
	case r.Method == http.MethodGet && r.URL.Path == "/comfreyridge/report":
		n.stateMu.Lock()
		defer n.stateMu.Unlock()
		runs := []any{}
		used := 0
		for _, x := range n.active {
			runs = append(runs, []any{x.id, x.promptTokens + eventTokens*x.events, x.events, 5})
			used += x.promptTokens + eventTokens*x.events
		}
		writeJSON(w, map[string]any{
			"stage": "unified", "models": []any{map[string]any{"name": "m", "version": 1, "adapters": []any{}}}, "busy": false, "sequence": 2,
			"queued": 0, "running": len(runs), "kvUsed": used, "kvTotal": 34371, "handles": len(n.copies), "pinned": 0, "held": 0,
			"state": n.state, "born": n.born, "runs": runs,
		})
	case r.Method == http.MethodPost && r.URL.Path == "/comfreyridge/kv-move":
		n.serveMove(w, r)
	case r.Method == http.MethodDelete && strings.HasPrefix(r.URL.Path, "/comfreyridge/kv-handle/"):
		for _, d := range n.byAddress {
			d.stateMu.Lock()
			delete(d.copies, n.address+"/"+strings.TrimPrefix(r.URL.Path, "/comfreyridge/kv-handle/"))
			d.stateMu.Unlock()
		}
	default:
		return false
	}
	return true
}

func (n *engine) serveMove(w http.ResponseWriter, r *http.Request) {
	var q struct {
		ID     string `json:"id"`
		Target string `json:"target"`
		Last   bool   `json:"last"`
	}
	_ = json.NewDecoder(r.Body).Decode(&q)
	d := n.byAddress[q.Target]
	n.stateMu.Lock()
	x := n.active[q.ID]
	status := http.StatusOK
	switch {
	case x == nil:
		status = http.StatusNotFound
	case x.isCopying:
		status = http.StatusConflict
	case d == nil:
		status = http.StatusServiceUnavailable
	}
	n.env.logf(n.id, "move of %s to %s, last %t: status %d", q.ID, q.Target, q.Last, status)
	if status != http.StatusOK {
		n.stateMu.Unlock()
		w.WriteHeader(status)
		return
	}
	if q.Last && n.rejectsStops {
		f := n.onRejectedStop
		n.stateMu.Unlock()
		n.env.logf(n.id, "turns away the call that stops %s", q.ID)
		w.Header().Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		f(x)
		return
	}
	x.isCopying = true
	if q.Last {
		close(x.stop)
		delete(n.active, q.ID)
	}
	events, copied := x.events, x.copied
	n.stateMu.Unlock()
	tokens := x.promptTokens + eventTokens*events
	n.transfer(tokens-copied, d.zone)
	n.stateMu.Lock()
	x.copied, x.isCopying = tokens, false
	n.stateMu.Unlock()
	handle := "h" + q.ID
	d.stateMu.Lock()
	d.copies[n.address+"/"+handle] = true
	d.stateMu.Unlock()
	n.env.logf(n.id, "moved %s with %d events", q.ID, events)
	writeJSON(w, map[string]any{"handle": handle, "createdRev": events})
}

// serve runs a generation; the number of its events stands in the body.
func (n *engine) serve(w http.ResponseWriter, r *http.Request, id string) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	from := r.Header.Get("Kv-From")
	n.stateMu.Lock()
	if from != "" && !n.copies[from] {
		n.stateMu.Unlock()
		n.env.logf(n.id, "has no copy %s for %s", from, id)
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	delete(n.copies, from)
	x := &engineRun{run: n.beginRun(r, id), stop: make(chan struct{}), lose: make(chan struct{})}
	_, _ = fmt.Sscanf(r.Header.Get("X-Token-Counts"), "%d", &x.promptTokens)
	n.active[id] = x
	n.stateMu.Unlock()
	total := 0
	_, _ = fmt.Sscanf(string(body), "events=%d", &total)
	last, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	w.Header().Set("Content-Type", "text/event-stream")
	if from == "" {
		time.Sleep(time.Duration(x.promptTokens/14) * time.Millisecond)
	}
	isWhole, why := n.stream(w, r, x, last, total)
	n.stateMu.Lock()
	if n.active[id] == x {
		delete(n.active, id)
	}
	n.stateMu.Unlock()
	n.endRun(x.run, isWhole, why)
	if !isWhole {
		panic(http.ErrAbortHandler)
	}
}

// stream makes the events after the last one. A run whose answer was lost goes on.
func (n *engine) stream(w http.ResponseWriter, r *http.Request, x *engineRun, last, total int) (isWhole bool, why string) {
	left, lose := r.Context().Done(), x.lose
	for i := last + 1; i <= total; i++ {
		select {
		case <-time.After(eventInterval):
		case <-x.stop:
			return false, "stopped to be moved"
		case <-left:
			return false, "its channel was closed"
		case <-lose:
			left, lose = nil, nil
			i--
			x.isLost = true
			if c, _, err := http.NewResponseController(w).Hijack(); err == nil {
				_ = c.Close()
			}
			n.env.logf(n.id, "loses the answer of %s after %d events and works on", x.id, i)
			continue
		}
		n.stateMu.Lock()
		x.events = i
		n.stateMu.Unlock()
		if x.isLost {
			continue
		}
		if err := writeEvent(w, x.id, i); err != nil {
			return false, "its channel was closed"
		}
	}
	return true, "complete"
}

func writeEvent(w http.ResponseWriter, id string, i int) error {
	_, err := fmt.Fprintf(w, "id: %d\ndata: %s/%d\n\n", i, id, i)
	return errors.Join(err, http.NewResponseController(w).Flush())
}
