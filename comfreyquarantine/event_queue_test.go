package comfreyquarantine_test

import (
	"container/heap"
	"time"
)

// event is a function to call at a time; seq orders events of the same time.
type event struct {
	at  time.Time
	do  func()
	seq uint64
}

// events is a heap of events by time.
type events []event

func (e events) Len() int      { return len(e) }
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e events) Less(i, j int) bool {
	if !e[i].at.Equal(e[j].at) {
		return e[i].at.Before(e[j].at)
	}
	return e[i].seq < e[j].seq
}
func (e *events) Push(x any) { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	x := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return x
}

// schedule adds an event that calls do after d.
func (m *simulation) schedule(d time.Duration, do func()) {
	m.seq++
	heap.Push(&m.events, event{m.now.Add(d), do, m.seq})
}
