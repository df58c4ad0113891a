// Package comfreyring provides a bounded ring buffer, used as a queue between
// goroutines and for recent history.
package comfreyring

import "sync"

// Ring is a ring buffer of the latest items, up to a fixed count. Putting an item
// into a full ring drops the oldest one, and the drop is counted. A Ring is safe
// for concurrent use.
type Ring[T any] struct {
	mu      sync.Mutex
	items   []T
	start   int
	count   int
	dropped uint64
}

// New returns an empty ring that holds at most size items. It panics if size is below 1.
func New[T any](size int) *Ring[T] {
	if size < 1 {
		panic("comfreyring: size must be at least 1")
	}
	return &Ring[T]{items: make([]T, size)}
}

// Put appends an item, and drops the oldest one if the ring is full.
func (r *Ring[T]) Put(item T) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.count == len(r.items) {
		r.items[r.start] = item
		r.start = (r.start + 1) % len(r.items)
		r.dropped++
		return
	}
	r.items[(r.start+r.count)%len(r.items)] = item
	r.count++
}

// Take removes and returns the oldest item. It reports false if the ring is
// empty.
func (r *Ring[T]) Take() (T, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	var zero T
	if r.count == 0 {
		return zero, false
	}
	item := r.items[r.start]
	r.items[r.start] = zero
	r.start = (r.start + 1) % len(r.items)
	r.count--
	return item, true
}

// Snapshot returns the items from the oldest to the latest.
func (r *Ring[T]) Snapshot() []T {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := make([]T, 0, r.count)
	for i := range r.count {
		s = append(s, r.items[(r.start+i)%len(r.items)])
	}
	return s
}

// Dropped returns how many items were dropped because the ring was full.
func (r *Ring[T]) Dropped() uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.dropped
}
