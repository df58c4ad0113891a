package main

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"syscall"
	"time"
)

// runResume kills one gateway after the other. The requesters of its streams come back at
// the other one with Last-Event-Id, while a replica leaves.
func runResume(w *World) []string {
	const (
		replicas = 4
		streams  = 60
		waves    = 6
		events   = 80
	)
	w.Step = 15 * time.Millisecond // Steps take longer while prompts are read.
	w.Store = NewStore()
	w.Store.Put("op/config", config(1, true))
	var engines []*Engine
	for range replicas {
		engines = append(engines, w.StartEngine("llm"))
	}
	gateways := StartGateways(w, 2, standardBounds())
	time.Sleep(4 * time.Second)
	for n := range waves {
		var pending sync.WaitGroup
		first, second := gateways[n%2], gateways[(n+1)%2]
		for i := range streams {
			pending.Go(func() {
				time.Sleep(time.Duration(rand.IntN(300)) * time.Millisecond)
				q := Request{ID: fmt.Sprintf("a%d%04x", n, i), Path: "/draft/1", Prompt: 150, Events: events, Deadline: 39 * time.Second}
				a := first.Send(q)
				w.Record.Notef("requester of %s: status %d, %d events, complete: %t %s", q.ID, a.Status, len(a.Events), a.IsComplete, a.Err)
				w.checkOwnEvents(q, a)
				if a.IsComplete || len(a.Events) == 0 {
					return
				}
				time.Sleep(time.Duration(10+rand.IntN(50)) * time.Millisecond)
				q.ID, q.LastEvent = fmt.Sprintf("b%d%04x", n, i), len(a.Events)
				w.Record.Notef("requester goes on as %s after event %d", q.ID, q.LastEvent)
				b := second.Send(q)
				w.Record.Notef("requester of %s: status %d, %d events, complete: %t %s", q.ID, b.Status, len(b.Events), b.IsComplete, b.Err)
				w.checkOwnEvents(q, b)
			})
		}
		e := w.StartEngine("llm") // The new replica starts first.
		time.Sleep(1200 * time.Millisecond)
		if w.HasTrouble {
			w.Record.Notef("gateway %s is killed", first.IP)
			_ = first.cmd.Process.Signal(syscall.SIGKILL)
			time.Sleep(60 * time.Millisecond)
		}
		pending.Go(engines[n].Leave)
		engines = append(engines, e)
		pending.Wait()
		if w.HasTrouble {
			<-first.done
			gateways[n%2] = first.Restart(w)
			time.Sleep(2 * time.Second)
		}
	}
	return w.broken
}
