package twice

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"
)

// run is one request that a replica began to work on.
type run struct {
	id, path, tenant string
	replica, service string
	began            time.Time
	// isResumed means that it goes on from a copy.
	isResumed bool
	ended     time.Time
	// isWhole means that the replica came to the end.
	isWhole bool
}

// replica is a sound replica of a service. It drops a request when its channel
// closes.
type replica struct {
	env         *env
	id, service string
	zone        string
	address     string
	born        int64
	// work serves a request that runs; it returns whether it came to the end.
	work func(w http.ResponseWriter, r *http.Request, body []byte) bool
	// control serves other calls than requests, and serveRun requests; by default what a
	// plain replica does.
	control  func(w http.ResponseWriter, r *http.Request) bool
	serveRun func(w http.ResponseWriter, r *http.Request, id string)

	mu   sync.Mutex
	runs []*run
}

func newReplica(e *env, id, service string, work func(w http.ResponseWriter, r *http.Request, body []byte) bool) (*replica, error) {
	l, err := listen()
	if err != nil {
		return nil, err
	}
	p := &replica{env: e, id: id, service: service, zone: "bxl-a", address: l.Addr().String(), born: time.Now().UnixMilli(), work: work}
	h := &http.Server{Handler: p}
	go func() { _ = h.Serve(l) }()
	e.closers = append(e.closers, func() { _ = h.Close() })
	return p, nil
}

// entry returns the replica's entry in the store.
func (p *replica) entry(slots int) map[string]any {
	return map[string]any{
		"service": p.service, "address": p.address, "zone": p.zone, "version": "v1", "slots": slots, "state": "ready",
		"coldLeftMs": 0, "stage": "unified", "models": []any{map[string]any{"name": "m", "version": 1, "adapters": []any{}}},
		"sequence": 1, "born": p.born,
	}
}

// ServeHTTP implements http.Handler.
func (p *replica) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if want := r.Header.Get("X-Expect-Replica"); want != "" && want != p.id {
		w.Header().Set("X-Request-Id", r.Header.Get("X-Request-Id"))
		w.Header().Set("X-Replica-Id", p.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if p.control != nil && p.control(w, r) {
		return
	}
	switch r.Method + " " + r.URL.Path {
	case "GET /comfreyridge/report":
		writeJSON(w, map[string]any{
			"stage": "unified", "models": []any{map[string]any{"name": "m", "version": 1, "adapters": []any{}}}, "busy": false, "sequence": 2,
			"queued": 0, "running": p.running(), "kvUsed": 0, "kvTotal": 34371, "handles": 0, "pinned": 0, "held": 0, "state": "ready", "born": p.born, "runs": []any{},
		})
		return
	case "POST /comfreyridge/hold-take":
		writeJSON(w, map[string]any{"hold": nextID()})
		return
	}
	if strings.HasPrefix(r.URL.Path, "/comfreyridge/") {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	id := r.Header.Get("X-Request-Id")
	if id == "" {
		w.Header().Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	w.Header().Set("X-Request-Id", id)
	w.Header().Set("X-Replica-Seal", "seal-"+p.id+"-"+id)
	if p.serveRun != nil {
		p.serveRun(w, r, id)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	x := p.beginRun(r, id)
	p.endRun(x, p.work(w, r, body), "")
}

// beginRun records that a request runs from now on.
func (p *replica) beginRun(r *http.Request, id string) *run {
	x := &run{id: id, path: r.URL.Path, tenant: r.Header.Get("X-Tenant"), replica: p.id, service: p.service, began: time.Now(), isResumed: r.Header.Get("Kv-From") != ""}
	p.mu.Lock()
	p.runs = append(p.runs, x)
	p.mu.Unlock()
	p.env.logf(p.id, "runs %s: %s %s, tenant %q, resumed %t after event %q", id, r.Method, r.URL.Path, x.tenant, x.isResumed, r.Header.Get("Last-Event-Id"))
	return x
}

// endRun records that a run has ended.
func (p *replica) endRun(x *run, isWhole bool, why string) {
	p.mu.Lock()
	x.ended, x.isWhole = time.Now(), isWhole
	p.mu.Unlock()
	p.env.logf(p.id, "ended %s, whole: %t %s", x.id, isWhole, why)
}

func (p *replica) running() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := 0
	for _, x := range p.runs {
		if x.ended.IsZero() {
			n++
		}
	}
	return n
}

// runOf returns the run of a request; nil if the replica did not run it.
func (p *replica) runOf(id string) *run {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, x := range p.runs {
		if x.id == id {
			c := *x
			return &c
		}
	}
	return nil
}

// allRuns returns all runs.
func (p *replica) allRuns() []run {
	p.mu.Lock()
	defer p.mu.Unlock()
	var l []run
	for _, x := range p.runs {
		l = append(l, *x)
	}
	return l
}

// unary returns work that takes some time and has an answer of 800 bytes.
func unary(d time.Duration) func(w http.ResponseWriter, r *http.Request, body []byte) bool {
	return func(w http.ResponseWriter, r *http.Request, _ []byte) bool {
		select {
		case <-time.After(d):
		case <-r.Context().Done():
			return false
		}
		_, err := io.WriteString(w, strings.Repeat("a", 800))
		return err == nil
	}
}

// streamed returns work that sends events at an interval; the number of events stands
// in the body.
func streamed(interval time.Duration) func(w http.ResponseWriter, r *http.Request, body []byte) bool {
	return func(w http.ResponseWriter, r *http.Request, body []byte) bool {
		n := 0
		_, _ = fmt.Sscanf(string(body), "events=%d", &n)
		w.Header().Set("Content-Type", "text/event-stream")
		for i := 1; i <= n; i++ {
			select {
			case <-time.After(interval):
			case <-r.Context().Done():
				return false
			}
			if _, err := fmt.Fprintf(w, "id: %d\ndata: four tokens of an answer\n\n", i); err != nil {
				return false
			}
			_ = http.NewResponseController(w).Flush()
		}
		return true
	}
}
