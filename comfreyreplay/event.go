package comfreyreplay

import (
	"container/heap"
	"time"
)

// eventKind names what happens at a point of the virtual time.
type eventKind int

const (
	eventArrive  eventKind = iota // a caller's request reaches its gateway
	eventDeliver                  // a request reaches a sidecar
	eventRefused                  // a refusal reaches the gateway
	eventReturn                   // a caller comes back
	eventStep                     // an engine ends a step
	eventReport                   // gateways hear of a replica
	eventTick                     // a controller's clock ticks
	eventFault                    // an event of the trace
	eventRestore                  // a lost replica is back
)

// event is an entry of the schedule.
type event struct {
	at      time.Duration
	order   int // of scheduling, which breaks ties
	kind    eventKind
	call    *call
	record  *Record
	replica int
	epoch   int
}

// schedule is a queue of events in the order of their times.
type schedule struct {
	events []event
	count  int
}

// add schedules e.
func (s *schedule) add(e event) {
	s.count++
	e.order = s.count
	heap.Push(s, e)
}

// next removes the earliest event.
func (s *schedule) next() event {
	return heap.Pop(s).(event)
}

// Len implements heap.Interface.
func (s *schedule) Len() int { return len(s.events) }

// Less implements heap.Interface.
func (s *schedule) Less(i, j int) bool {
	if s.events[i].at != s.events[j].at {
		return s.events[i].at < s.events[j].at
	}
	return s.events[i].order < s.events[j].order
}

// Swap implements heap.Interface.
func (s *schedule) Swap(i, j int) { s.events[i], s.events[j] = s.events[j], s.events[i] }

// Push implements heap.Interface.
func (s *schedule) Push(x any) { s.events = append(s.events, x.(event)) }

// Pop implements heap.Interface.
func (s *schedule) Pop() any {
	e := s.events[len(s.events)-1]
	s.events = s.events[:len(s.events)-1]
	return e
}
