package main

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"syscall"
	"time"
)

// lateEnd is how long a slow replica takes from its last event to the end of its answer.
// Requesters of these routes wait 7.2 s for what comes next.
const lateEnd = 5600 * time.Millisecond

// runLateEnd stops one gateway after the other as planned, while one replica of seven
// ends its streams late.
func runLateEnd(w *World) []string {
	const (
		replicas = 7
		streams  = 60
		waves    = 4
	)
	w.Step = 9 * time.Millisecond
	w.Store = NewStore()
	w.Store.Put("op/config", config(1, false))
	for i := range replicas {
		e := w.StartEngine("llm")
		if i == 0 && w.HasTrouble {
			e.endDelay = lateEnd
		}
	}
	gateways := StartGateways(w, 3, standardBounds())
	time.Sleep(3 * time.Second)
	for n := range waves {
		var pending sync.WaitGroup
		var mu sync.Mutex
		var stopped time.Time // when the gateway got SIGTERM that is stopped this time
		stopping := n % len(gateways)
		for i := range streams {
			pending.Go(func() {
				time.Sleep(time.Duration(rand.IntN(800)) * time.Millisecond)
				q := Request{ID: fmt.Sprintf("e%d%04x", n, i), Path: "/draft/1", Prompt: 600, Events: 20 + rand.IntN(10), Deadline: 39 * time.Second}
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
		w.Record.Notef("gateway %s gets SIGTERM", gateways[stopping].IP)
		mu.Lock()
		stopped = time.Now()
		mu.Unlock()
		_ = gateways[stopping].cmd.Process.Signal(syscall.SIGTERM)
		pending.Wait()
		<-gateways[stopping].done
		gateways[stopping] = gateways[stopping].Restart(w)
		time.Sleep(2 * time.Second)
	}
	return w.broken
}
