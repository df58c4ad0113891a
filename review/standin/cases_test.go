package main

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"
)

// config returns a configuration with streaming routes on a service of engines.
func config(version int, canResume bool) map[string]any {
	route := func(name, prefix string, timeout, target int) map[string]any {
		return map[string]any{
			"name": name, "host": "desk.example", "prefix": prefix, "routeType": "streaming", "timeoutMs": timeout, "targetLatencyMs": target,
			"priority": 0, "service": "llm", "maxAttempts": 1, "public": true, "stickySessions": true, "streamResume": canResume, "gapAimMs": 180,
		}
	}
	return map[string]any{
		"version": version,
		"routes":  []any{route("draft", "/draft/", 39000, 1800), route("check", "/check/", 6000, 1500)},
		"services": []any{map[string]any{
			"name": "llm", "healthPath": "/health", "maxConnections": 272, "protocol": "h1", "tls": false, "coldStartS": 0.0, "coldPerS": 0.0,
			"engine": map[string]any{
				"slots": slots, "kvCapacityTokens": kvTotal, "tokenKvBytes": tokenKVBytes, "linkMbps": linkMbps, "moves": true, "backups": true,
				"stride": stride, "most": 12, "pinMs": 4000, "holdMs": 2000, "handleS": 5, "models": []any{map[string]any{"name": "m"}},
			},
		}},
		"limits": map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
	}
}

// checkOwnEvents checks that a stream holds the requester's own events, each once and in
// order.
func (w *World) checkOwnEvents(q Request, a Answer) {
	for i, e := range a.Events {
		n := q.LastEvent + i + 1
		if e.ID != n {
			w.Break("ORDER: the requester of %s, which asked for the events after %d, got the event with id %d where %d is due", q.ID, q.LastEvent, e.ID, n)
			return
		}
		if want := fmt.Sprintf("%s/%d", q.ID, n); e.Data != want {
			w.Break("MIXED: the requester of %s got %q as event %d, want %q", q.ID, e.Data, n, want)
			return
		}
	}
}

// runKVMove lets replicas leave under load, while some of them send late second copies
// of answers.
func runKVMove(w *World) []string {
	w.Step = 9 * time.Millisecond
	w.Store = NewStore()
	w.Store.Put("op/config", config(1, false))
	const replicas, leaving = 9, 5
	var engines []*Engine
	for i := range replicas {
		e := w.StartEngine("llm")
		e.mayGarble = i < leaving // A share of 0.56.
		engines = append(engines, e)
	}
	gateways := StartGateways(w, 2, standardBounds())
	var pending sync.WaitGroup
	stop := make(chan struct{})
	send := func(q Request) {
		w.Record.Notef("requester sends %s to %s: prompt %d tokens, answer %d events", q.ID, q.Path, q.Prompt, q.Events)
		pending.Go(func() {
			a := gateways[rand.IntN(len(gateways))].Send(q)
			w.Record.Notef("requester of %s: status %d, %d events, complete: %t %s", q.ID, a.Status, len(a.Events), a.IsComplete, a.Err)
			w.checkOwnEvents(q, a)
		})
	}
	pending.Go(func() { // The traffic: drafts of some seconds and short checks.
		for i := 0; ; i++ {
			select {
			case <-stop:
				return
			case <-time.After(time.Duration(rand.ExpFloat64() * float64(25*time.Millisecond))):
			}
			if i%2 == 0 {
				send(Request{ID: fmt.Sprintf("d%06x", i), Path: "/draft/1", Prompt: 1300, Events: 90 + rand.IntN(60), Deadline: 39 * time.Second})
			} else {
				send(Request{ID: fmt.Sprintf("c%06x", i), Path: "/check/1", Prompt: 300, Events: 5 + rand.IntN(10), Deadline: 6 * time.Second})
			}
		}
	})
	time.Sleep(14 * time.Second)
	for i := range leaving {
		w.StartEngine("llm") // The new one starts first.
		time.Sleep(time.Second)
		engines[i].Leave()
		time.Sleep(2 * time.Second)
	}
	close(stop)
	pending.Wait()
	sent := 0
	for _, e := range engines {
		sent += e.extras
	}
	w.Record.Notef("late second copies sent: %d", sent)
	if w.HasTrouble && sent == 0 {
		must(errors.New("no replica sent a late second copy"))
	}
	return w.broken
}
