// Package comfreyroutesim measures routing and retries on a virtual clock: the
// router, tracker and budgets that serve, before a queueing model of replicas
// with slots. One seed gives one result.
package comfreyroutesim

import (
	"container/heap"
	"time"
)

// event is something that happens at a virtual time.
type event struct {
	at  time.Time
	seq uint64
	do  func()
}

type eventHeap []event

func (h eventHeap) Len() int { return len(h) }

func (h eventHeap) Less(i, j int) bool {
	if !h[i].at.Equal(h[j].at) {
		return h[i].at.Before(h[j].at)
	}
	return h[i].seq < h[j].seq
}

func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

func (h *eventHeap) Push(x any) { *h = append(*h, x.(event)) }

func (h *eventHeap) Pop() any {
	n := len(*h) - 1
	e := (*h)[n]
	(*h)[n] = event{}
	*h = (*h)[:n]
	return e
}

// clock runs events in the order of their time.
type clock struct {
	now    time.Time
	seq    uint64
	events eventHeap
}

// after schedules f to run d from now.
func (c *clock) after(d time.Duration, f func()) {
	c.seq++
	heap.Push(&c.events, event{at: c.now.Add(d), seq: c.seq, do: f})
}

// run runs the events up to the given time.
func (c *clock) run(until time.Time) {
	for len(c.events) > 0 && !c.events[0].at.After(until) {
		e := heap.Pop(&c.events).(event)
		c.now = e.at
		e.do()
	}
	c.now = until
}
