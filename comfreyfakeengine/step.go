package comfreyfakeengine

import (
	"context"
	"time"
)

// run steps the batch until ctx ends.
func (e *Engine) run(ctx context.Context) error {
	t := time.NewTimer(0)
	defer t.Stop()
	next := time.Now()
	for ctx.Err() == nil {
		d, busy := e.step()
		if !busy {
			select {
			case <-e.wake:
			case <-ctx.Done():
			}
			next = time.Now()
			continue
		}
		if d <= 0 {
			continue
		}
		next = later(next.Add(d), time.Now())
		t.Reset(time.Until(next))
		select {
		case <-t.C:
		case <-ctx.Done():
		}
	}
	return nil
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// poke wakes the stepping goroutine.
func (e *Engine) poke() {
	select {
	case e.wake <- struct{}{}:
	default:
	}
}

// step runs one step of the batch. It returns the time that the step takes,
// and false if there was nothing to do.
func (e *Engine) step() (time.Duration, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.stalled {
		return 0, false
	}
	e.batch.reclaimMemory()
	e.begin(e.batch.admit())
	if len(e.batch.running) == 0 {
		return 0, false
	}
	d := e.batch.stepTime(e.config)
	e.batch.advance(e.finish)
	e.reportLoad()
	return d, true
}

// begin starts the prefill of generations that were admitted. A poisoned one
// crashes the engine.
func (e *Engine) begin(admitted []*generation) {
	poisoned := false
	for _, g := range admitted {
		hit := e.cache.use(g.blocks)
		if !g.began {
			g.began = true
			e.note(g.request, func(r *RunRecord) { r.Began++ })
		}
		g.uncomputed = max(1, g.uncomputed-hit)
		poisoned = poisoned || g.poison
	}
	if poisoned {
		e.crash(0)
	}
}

// preempted notes that a generation was preempted.
func (e *Engine) preempted(g *generation) {
	e.note(g.request, func(r *RunRecord) { r.Preempted++ })
}

// finish ends a generation that has emitted its last token.
func (e *Engine) finish(g *generation) {
	if g.emitted < g.length {
		g.finish = finishLength
	}
	e.drop(g, phaseFinished)
}

// drop ends a generation in the given phase. The caller holds e.mu.
func (e *Engine) drop(g *generation, p phase) {
	if g.phase.over() {
		return
	}
	e.batch.remove(g)
	g.phase = p
	e.note(g.request, func(r *RunRecord) {
		switch p {
		case phaseFinished:
			r.Finished++
		case phaseCancelled:
			r.Cancelled++
		case phaseLost:
			r.Lost++
		}
	})
	g.signal()
	e.poke()
}
