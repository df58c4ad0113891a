package comfreysidecar

import (
	"strconv"
	"sync"
	"time"
)

// attemptRetention is how long a request id stays known after its generation is
// forgotten. It exceeds the time for which a signed request is accepted, so
// that no late copy of a request can run a second time.
const attemptRetention = 5 * time.Minute

// attemptKey identifies one attempt of one request.
func attemptKey(requestID string, attempt uint32) string {
	return requestID + "#" + strconv.FormatUint(uint64(attempt), 10)
}

// generationTable holds the generations of one incarnation and the request ids that may
// not begin again. It is safe for concurrent use.
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

// recordAttempt makes sure that the attempt cannot begin any more. It reports false if
// the attempt is already known.
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

// add stores g under its counter and its key.
func (t *generationTable) add(g *generation) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.byCounter[g.id.Counter] = g
	t.byKey[g.key] = g
}

// nextCounter returns the number of a new generation.
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

// all returns the kept generations.
func (t *generationTable) all() []*generation {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := make([]*generation, 0, len(t.byCounter))
	for _, g := range t.byCounter {
		s = append(s, g)
	}
	return s
}

// each calls f for every kept generation. The callback must not use the table.
func (t *generationTable) each(f func(g *generation)) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, g := range t.byCounter {
		f(g)
	}
}

// expire forgets the generations whose frames need not be kept, and the fences
// that no late copy can reach.
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
