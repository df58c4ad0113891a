package main

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"syscall"
	"time"
)

// runUnframed lets a replica leave whose answers come in chunks, while others end their
// answers with the channel, and then stops a gateway as planned.
func runUnframed(w *World) []string {
	const (
		streams = 60
		waves   = 3
	)
	w.Step = 9 * time.Millisecond
	w.Store = NewStore()
	w.Store.Put("op/config", config(1, false))
	for range 3 {
		w.StartEngine("llm").isUnframed = true
	}
	leaving := w.StartEngine("llm")
	gateways := StartGateways(w, 3, standardBounds())
	time.Sleep(3 * time.Second)
	for n := range waves {
		var pending sync.WaitGroup
		var mu sync.Mutex
		var stopped time.Time // when the gateway got SIGTERM that is stopped this time
		stopping := n % len(gateways)
		for i := range streams {
			pending.Go(func() {
				time.Sleep(time.Duration(rand.IntN(1500)) * time.Millisecond)
				q := Request{ID: fmt.Sprintf("u%d%04x", n, i), Path: "/draft/1", Prompt: 600, Events: 80 + rand.IntN(40), Deadline: 39 * time.Second}
				w.Record.Notef("requester sends %s to gateway %s: answer %d events", q.ID, gateways[i%len(gateways)].IP, q.Events)
				a := gateways[i%len(gateways)].Send(q)
				ended := time.Now()
				w.Record.Notef("requester of %s: status %d, %d events, complete: %t %s", q.ID, a.Status, len(a.Events), a.IsComplete, a.Err)
				w.checkOwnEvents(q, a)
				mu.Lock()
				defer mu.Unlock()
				if i%len(gateways) == stopping {
					w.checkWholeAnswer(q, a, stopped, ended)
				}
			})
		}
		time.Sleep(1800 * time.Millisecond)
		pending.Go(leaving.Leave)
		time.Sleep(500 * time.Millisecond)
		if w.HasTrouble {
			w.Record.Notef("gateway %s gets SIGTERM", gateways[stopping].IP)
			mu.Lock()
			stopped = time.Now()
			mu.Unlock()
			_ = gateways[stopping].cmd.Process.Signal(syscall.SIGTERM)
		}
		pending.Wait()
		leaving = w.StartEngine("llm")
		if w.HasTrouble {
			<-gateways[stopping].done
			gateways[stopping] = gateways[stopping].Restart(w)
		}
		time.Sleep(2 * time.Second)
	}
	return w.broken
}

// grace is the time from SIGTERM to SIGKILL.
const grace = 8 * time.Second

// checkWholeAnswer checks that a requester got the whole answer that a replica has sent,
// if its channel ended around the planned stop of its gateway.
func (w *World) checkWholeAnswer(q Request, a Answer, stopped, ended time.Time) {
	isPlanned := !stopped.IsZero() && ended.After(stopped) && ended.Before(stopped.Add(grace+time.Second))
	if isPlanned && !a.IsComplete && w.hasCompleted(q.ID) {
		w.Break("LOST: %s was passed on, and its replica sent the whole answer of %d events; the requester's channel ended %d ms after the SIGTERM without a complete answer (%s)",
			q.ID, q.Events, ended.Sub(stopped).Milliseconds(), a.Err)
	}
}
