package comfreyreplay

import (
	"slices"
	"time"
)

// EngineShape holds the parameters of the engine model. The zero value of each
// field selects its default.
type EngineShape struct {
	// CapacityTokens is the memory for prompts and answers.
	CapacityTokens int
	// BatchTokens bounds the prompt and answer tokens of one step.
	BatchTokens int
	// PrefixTokens bounds the cache of prompt prefixes.
	PrefixTokens int
	// StepTime is the least time of a step.
	StepTime time.Duration
	// SequenceTime is the time of a step for each generation in it.
	SequenceTime time.Duration
	// ContextTime is the time of a step for each token of memory in use.
	ContextTime time.Duration
	// PromptTime is the time of a step for each token of a prompt in it.
	PromptTime time.Duration
}

// withDefaults returns a copy of s with every field set.
func (s EngineShape) withDefaults() EngineShape {
	setDefault(&s.CapacityTokens, 60000)
	setDefault(&s.BatchTokens, 2048)
	setDefault(&s.PrefixTokens, 4000)
	setDefault(&s.StepTime, 8*time.Millisecond)
	setDefault(&s.SequenceTime, 70*time.Microsecond)
	setDefault(&s.ContextTime, 80*time.Nanosecond)
	setDefault(&s.PromptTime, 25*time.Microsecond)
	return s
}

// setDefault sets *v to d if it is zero.
func setDefault[T comparable](v *T, d T) {
	var zero T
	if *v == zero {
		*v = d
	}
}

// job is a generation in the engine.
type job struct {
	call      *call
	id        string
	prompt    int
	answer    int
	generated int
	prefill   int  // tokens that must be computed before the next one
	preempted bool // waits to be resumed
}

// context returns the memory that j takes.
func (j *job) context() int {
	return j.prompt + j.generated
}

// engine models a continuously batching engine: it gives memory token by
// token, pushes the latest generation aside when memory runs out, and computes
// that one's tokens again when it resumes.
type engine struct {
	shape   EngineShape
	used    int
	running []*job
	waiting []*job // the engine's own queue; preempted ones come first
	cache   prefixCache
	emitted []*job // generations that get a token in the current step
	busy    bool
	epoch   int // counts the losses of the engine
}

// newEngine returns an idle engine.
func newEngine(s EngineShape) *engine {
	return &engine{shape: s, cache: prefixCache{limit: s.PrefixTokens}}
}

// add appends a generation to the engine's queue.
func (e *engine) add(j *job, r *Record) {
	j.prefill = j.prompt
	if e.cache.touch(r.Prefix, r.PrefixTokens) {
		j.prefill = max(j.prompt-r.PrefixTokens, 1)
	}
	e.waiting = append(e.waiting, j)
}

// step begins a step and returns its length, or zero if there is nothing to
// do. The callbacks tell of generations preempted and resumed.
func (e *engine) step(preempted, resumed func(j *job)) time.Duration {
	pushed := e.reserve(preempted)
	if !pushed {
		e.accept(resumed)
	}
	if len(e.running) == 0 {
		return 0
	}
	budget := e.shape.BatchTokens - len(e.running)
	prompt := 0
	e.emitted = e.emitted[:0]
	for _, j := range e.running {
		if j.prefill > 0 {
			n := min(j.prefill, max(budget-prompt, 0))
			j.prefill -= n
			prompt += n
		}
		if j.prefill == 0 {
			e.emitted = append(e.emitted, j)
		}
	}
	s := e.shape
	return s.StepTime + time.Duration(len(e.emitted))*s.SequenceTime +
		time.Duration(e.used)*s.ContextTime + time.Duration(prompt)*s.PromptTime
}

// reserve makes room for one more token of each running generation. It reports
// whether any was preempted.
func (e *engine) reserve(preempted func(j *job)) bool {
	pushed := false
	for e.used+len(e.running) > e.shape.CapacityTokens && len(e.running) > 1 {
		e.push(len(e.running)-1, preempted)
		pushed = true
	}
	return pushed
}

// push moves the running generation i back to the queue, its memory lost.
func (e *engine) push(i int, preempted func(j *job)) {
	j := e.running[i]
	e.running = slices.Delete(e.running, i, i+1)
	e.used -= j.context()
	j.prefill = j.context()
	j.preempted = true
	e.waiting = slices.Insert(e.waiting, 0, j)
	preempted(j)
}

// accept moves generations from the queue while their context fits.
func (e *engine) accept(resumed func(j *job)) {
	prompt := 0
	for len(e.waiting) > 0 && prompt < e.shape.BatchTokens {
		j := e.waiting[0]
		room := e.shape.CapacityTokens - e.used - len(e.running)
		if j.context()+e.shape.CapacityTokens/100 > room && len(e.running) > 0 {
			return
		}
		e.waiting = slices.Delete(e.waiting, 0, 1)
		e.running = append(e.running, j)
		e.used += j.context()
		prompt += j.prefill
		if j.preempted {
			j.preempted = false
			resumed(j)
		}
	}
}

// finish ends a step: each generation in it gets a token. The callback returns
// whether the answer is complete.
func (e *engine) finish(token func(j *job) bool) {
	for _, j := range e.emitted {
		j.generated++
		e.used++
		if token(j) {
			e.remove(j)
		}
	}
	e.emitted = e.emitted[:0]
}

// remove drops a generation, wherever it is.
func (e *engine) remove(j *job) {
	if i := slices.Index(e.running, j); i >= 0 {
		e.running = slices.Delete(e.running, i, i+1)
		e.used -= j.context()
		return
	}
	if i := slices.Index(e.waiting, j); i >= 0 {
		e.waiting = slices.Delete(e.waiting, i, i+1)
	}
}

// preempt pushes a named generation aside, as its sidecar asks.
func (e *engine) preempt(id string, preempted func(j *job)) {
	for i, j := range e.running {
		if j.id == id {
			e.push(i, preempted)
			return
		}
	}
}

// lose empties the engine and returns what it held.
func (e *engine) lose() []*job {
	lost := append(slices.Clone(e.running), e.waiting...)
	e.running, e.waiting, e.emitted = nil, nil, nil
	e.used = 0
	e.busy = false
	e.epoch++
	e.cache = prefixCache{limit: e.shape.PrefixTokens}
	return lost
}
