package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	// bodyBytes is the size of the answer to a request that does not stream.
	bodyBytes = 800
	// eventInterval is the time between two events of a stream.
	eventInterval = 42 * time.Millisecond
	// checkEvents is how many events a check has.
	checkEvents = 4
)

// execution is one run of a request at a replica.
type execution struct {
	replica string
	id      string
	began   time.Time
	// isDone is false while the request runs, or if the replica has ended before.
	isDone bool
}

// runs are the runs at all replicas. It is safe for concurrent use.
type runs struct {
	mu  sync.Mutex
	all []*execution
}

func (r *runs) begin(replica, id string) *execution {
	r.mu.Lock()
	defer r.mu.Unlock()
	x := &execution{replica: replica, id: id, began: time.Now()}
	r.all = append(r.all, x)
	return x
}

func (r *runs) end(x *execution) {
	r.mu.Lock()
	defer r.mu.Unlock()
	x.isDone = true
}

// list returns the runs so far.
func (r *runs) list() []execution {
	r.mu.Lock()
	defer r.mu.Unlock()
	var l []execution
	for _, x := range r.all {
		l = append(l, *x)
	}
	return l
}

// replica stands in for one replica of a service.
type replica struct {
	id, service, address, zone string
	slots                      int
	// work is how long a request runs that does not stream, and events how many events
	// a stream has.
	work   time.Duration
	events int
	born   int64

	env   *environment
	runs  *runs
	http  *http.Server
	slot  chan struct{}
	queue chan struct{}
}

// start serves the replica and registers it.
func (p *replica) start(e *environment, s *store, r *runs) error {
	l, err := net.Listen("tcp", p.address)
	if err != nil {
		return err
	}
	p.env, p.runs, p.born = e, r, time.Now().UnixMilli()
	p.slot, p.queue = make(chan struct{}, p.slots), make(chan struct{}, 2*p.slots)
	p.http = &http.Server{Handler: http.HandlerFunc(p.serve), ReadHeaderTimeout: time.Minute, IdleTimeout: 10 * time.Second}
	serveUntilEnd(e, p.http, l)
	s.put(p.key(), map[string]any{
		"service": p.service, "address": p.address, "zone": p.zone, "version": "v1", "slots": p.slots, "state": "ready", "coldLeftMs": 0, "sequence": 1, "born": p.born,
	})
	return nil
}

// key returns the key of the replica's registration.
func (p *replica) key() string {
	return "servers/" + p.id
}

// end ends the replica, with the connections that are open.
func (p *replica) end() {
	_ = p.http.Close()
}

func (p *replica) serve(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("X-Request-Id")
	h := w.Header()
	h.Set("X-Replica-Id", p.id)
	if x := r.Header.Get("X-Expect-Replica"); x != "" && x != p.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if r.URL.Path == "/comfreyridge/report" {
		writeJSON(w, map[string]any{"running": len(p.slot), "queued": len(p.queue) - len(p.slot), "kvUsed": 0, "kvTotal": 1 << 20, "state": "ready", "born": p.born, "runs": []any{}})
		return
	}
	h.Set("X-Not-Executed", "1")
	if id == "" {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	h.Set("X-Request-Id", id)
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return // The sender has left.
	}
	select {
	case p.queue <- struct{}{}:
		defer func() { <-p.queue }()
	default:
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	select {
	case p.slot <- struct{}{}:
		defer func() { <-p.slot }()
	case <-r.Context().Done():
		return
	}
	h.Del("X-Not-Executed")
	events := p.events
	if strings.HasPrefix(r.URL.Path, "/check/") {
		events = min(events, checkEvents)
	}
	p.execute(r.Context(), w, id, events)
}

// execute runs a request and answers it.
func (p *replica) execute(ctx context.Context, w http.ResponseWriter, id string, events int) {
	x := p.runs.begin(p.id, id)
	p.env.record.printf("run replica=%s id=%s", p.id, id)
	h := w.Header()
	h.Set("X-Replica-Seal", "seal."+p.id+"."+id)
	h.Set("X-Replica-Load", fmt.Sprintf("%d,%d,%d", len(p.slot), len(p.queue)-len(p.slot), p.slots))
	if events > 0 {
		h.Set("Content-Type", "text/event-stream")
		for i := range events {
			if !pause(ctx, eventInterval) {
				return
			}
			fmt.Fprintf(w, "id: %d\ndata: %s\n\n", i+1, id)
			_ = http.NewResponseController(w).Flush()
		}
		p.runs.end(x)
		return
	}
	if pause(ctx, p.work) {
		_, _ = w.Write(bytes.Repeat([]byte("x"), bodyBytes))
		p.runs.end(x)
	}
}

// pause waits for d, and reports false if ctx ends before.
func pause(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}
