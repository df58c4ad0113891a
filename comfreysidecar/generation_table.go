package comfreysidecar

import (
	"strconv"
	"sync"
	"time"
)

// attemptRetention is how long an attempt is kept after its generation was
// removed. It exceeds the time for which a signed request is accepted, so that
// no late copy of a request can run a second time.
const attemptRetention = 5 * time.Minute

// attemptKey identifies one attempt of a request.
func attemptKey(requestID string, attempt uint32) string {
	return requestID + "#" + strconv.FormatUint(uint64(attempt), 10)
}

// generationTable holds the generations of one incarnation and the attempts
// that may not start again. It is safe for concurrent use.
type generationTable struct {
	mu           sync.Mutex
	counter      uint64
	byCounter    map[uint64]*generation
	byKey        map[string]*generation
	seenAttempts map[string]time.Time
}

func newGenerationTable() *generationTable {
	return &generationTable{
		byCounter:    map[uint64]*generation{},
		byKey:        map[string]*generation{},
		seenAttempts: map[string]time.Time{},
	}
}

// recordAttempt records an attempt, so that it cannot start again. It reports
// false if the attempt was recorded before.
func (t *generationTable) recordAttempt(key string, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	_, seen := t.seenAttempts[key]
	if seen {
		return false
	}
	t.seenAttempts[key] = now
	return true
}

// add stores g by its counter and by its attempt.
func (t *generationTable) add(g *generation) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.byCounter[g.id.Counter] = g
	t.byKey[g.key] = g
}

// nextCounter returns the counter of a new generation.
func (t *generationTable) nextCounter() uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.counter++
	return t.counter
}

// find returns the generation with the given counter, or nil.
func (t *generationTable) find(counter uint64) *generation {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.byCounter[counter]
}

// findAttempt returns the generation of the given attempt, or nil.
func (t *generationTable) findAttempt(key string) *generation {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.byKey[key]
}

// all returns the retained generations.
func (t *generationTable) all() []*generation {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := make([]*generation, 0, len(t.byCounter))
	for _, g := range t.byCounter {
		s = append(s, g)
	}
	return s
}

// each calls f for every retained generation. The callback must not use the
// table.
func (t *generationTable) each(f func(g *generation)) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, g := range t.byCounter {
		f(g)
	}
}

// expire removes the generations whose frames can be dropped, and the attempts
// of which no late copy can be accepted any more.
func (t *generationTable) expire(now time.Time, retention time.Duration) {
	for _, g := range t.all() {
		if g.isExpired(now, retention) {
			t.remove(g, now)
		}
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	for k, at := range t.seenAttempts {
		if t.byKey[k] == nil && now.Sub(at) > attemptRetention {
			delete(t.seenAttempts, k)
		}
	}
}

func (t *generationTable) remove(g *generation, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.byCounter, g.id.Counter)
	delete(t.byKey, g.key)
	t.seenAttempts[g.key] = now
}
