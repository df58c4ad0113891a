package comfreyroutesim

import (
	"time"

	"comfreyridge.example/comfreyridge/comfreyfleet"
	"comfreyridge.example/comfreyridge/comfreyrouter"
	"comfreyridge.example/comfreyridge/comfreyverdict"
)

// slotTokens is the cache that one running request fills in the model.
const slotTokens = 1000

// replica is an upstream with a sidecar: slots, a bounded queue, and a cache
// of the latest prompt prefixes.
type replica struct {
	model   *model
	member  comfreyfleet.Member
	down    bool
	life    int
	running int
	queue   []*request
	cache   []uint64
}

// hint returns the load as the sidecar reports it.
func (r *replica) hint(now time.Time) comfreyrouter.Hint {
	c := r.model.config
	return comfreyrouter.Hint{
		Accepting:      true,
		Running:        r.running,
		Queued:         len(r.queue),
		UsedTokens:     r.running * slotTokens,
		CapacityTokens: c.Slots * slotTokens,
		ExpectedWait:   r.expectedWait(),
		At:             now,
	}
}

// expectedWait returns how long a request that arrived now would wait.
func (r *replica) expectedWait() time.Duration {
	c := r.model.config
	ahead := len(r.queue) + r.running + 1 - c.Slots
	return time.Duration(max(ahead, 0)) * c.ServiceMean / time.Duration(c.Slots)
}

// submit starts or queues a request, or refuses it with verdict not-run.
func (r *replica) submit(q *request) error {
	if len(r.queue) >= r.model.config.QueueLimit {
		e := comfreyverdict.NotRun(comfreyverdict.ReasonAdmissionFull, "the queue is full")
		return e.WithRetryAfter(r.expectedWait())
	}
	q.queuedAt = r.model.clock.now
	if r.running < r.model.config.Slots {
		r.start(q)
		return nil
	}
	r.queue = append(r.queue, q)
	return nil
}

// start runs a request in a free slot.
func (r *replica) start(q *request) {
	m := r.model
	r.running++
	w := m.clock.now.Sub(q.queuedAt)
	d := q.service
	hit := r.lookUp(q.prefix)
	if !hit {
		d += m.config.Prefill
		w += m.config.Prefill
	}
	m.report.started(q, w, hit)
	life := r.life
	m.clock.after(d, func() {
		if r.life == life {
			r.finish(q)
		}
	})
}

// finish frees a slot and starts the next request whose caller still waits.
func (r *replica) finish(q *request) {
	r.running--
	r.model.answered(r, q)
	for len(r.queue) > 0 && r.running < r.model.config.Slots {
		n := r.queue[0]
		r.queue = r.queue[1:]
		if r.model.clock.now.After(n.deadline) {
			r.model.expired(n)
			continue
		}
		r.start(n)
	}
}

// fail loses everything that runs or waits.
func (r *replica) fail() {
	r.down = true
	r.life++
	r.model.report.lost += r.running + len(r.queue)
	r.running = 0
	r.queue = nil
	r.cache = nil
}

// lookUp reports whether a prefix is cached, and caches it.
func (r *replica) lookUp(prefix uint64) bool {
	hit := false
	for i, p := range r.cache {
		if p == prefix {
			r.cache = append(r.cache[:i], r.cache[i+1:]...)
			hit = true
			break
		}
	}
	r.cache = append(r.cache, prefix)
	if len(r.cache) > r.model.config.CachedPrefixes {
		r.cache = r.cache[1:]
	}
	return hit
}
