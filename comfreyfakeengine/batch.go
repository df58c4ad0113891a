package comfreyfakeengine

import (
	"slices"
	"time"
)

// batch is the engine's continuous batch with its token memory.
type batch struct {
	capacityTokens int
	prefillTokens  int
	size           int
	waiting        []*generation
	running        []*generation
	preemptions    uint64
	// observe receives every generation that is preempted.
	observe func(g *generation)
}

// usedTokens returns the token memory in use.
func (b *batch) usedTokens() int {
	n := 0
	for _, g := range b.running {
		n += g.usedTokens()
	}
	return n
}

// enqueue inserts g into the queue in serving order.
func (b *batch) enqueue(g *generation) {
	g.phase = phaseWaiting
	i, _ := slices.BinarySearchFunc(b.waiting, g, func(x, y *generation) int {
		if x.before(y) {
			return -1
		}
		return 1
	})
	b.waiting = slices.Insert(b.waiting, i, g)
}

// remove takes g out of the batch and out of the queue.
func (b *batch) remove(g *generation) {
	same := func(h *generation) bool { return g == h }
	b.waiting = slices.DeleteFunc(b.waiting, same)
	b.running = slices.DeleteFunc(b.running, same)
}

// admit moves waiting generations into the batch while they fit, and returns
// those that it moved.
func (b *batch) admit() []*generation {
	var admitted []*generation
	used := b.usedTokens()
	for len(b.waiting) > 0 && len(b.running) < b.size {
		g := b.waiting[0]
		if used+g.usedTokens()+1 > b.capacityTokens {
			break
		}
		used += g.usedTokens() + 1
		g.phase = phaseRunning
		b.waiting = slices.Delete(b.waiting, 0, 1)
		b.running = append(b.running, g)
		admitted = append(admitted, g)
	}
	return admitted
}

// reclaimMemory preempts generations until each remaining one can grow by one
// token. The last in serving order goes first. A preempted generation computes
// its prompt and its tokens again when it comes back.
func (b *batch) reclaimMemory() {
	for len(b.running) > 1 && b.usedTokens()+len(b.running) > b.capacityTokens {
		b.preempt(b.last())
	}
}

// last returns the running generation that is last in serving order.
func (b *batch) last() *generation {
	return slices.MaxFunc(b.running, func(x, y *generation) int {
		if x.before(y) {
			return -1
		}
		return 1
	})
}

// preempt moves g from the batch back to the queue.
func (b *batch) preempt(g *generation) {
	b.remove(g)
	g.uncomputed = g.usedTokens()
	b.enqueue(g)
	b.preemptions++
	b.observe(g)
}

// advance runs one step: it prefills within the step's budget, and each
// generation that needs no prefill emits one token. It calls done for every
// generation that has emitted its last token.
func (b *batch) advance(done func(g *generation)) {
	budget := b.prefillTokens
	for _, g := range slices.Clone(b.running) {
		if g.uncomputed > 0 {
			n := min(budget, g.uncomputed)
			g.uncomputed -= n
			budget -= n
			continue
		}
		g.emitted++
		if g.emitted >= g.length || g.usedTokens() >= b.capacityTokens {
			done(g)
		}
		g.signal()
	}
}

// stepTime returns the time of the next step.
func (b *batch) stepTime(c Config) time.Duration {
	return c.StepTime + time.Duration(len(b.running))*c.SequenceTime
}
