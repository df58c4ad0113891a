package comfreysidecar

import (
	"context"
	"sync/atomic"
	"time"

	"comfreyridge.example/comfreyridge/comfreyadmission"
)

const (
	// admissionEvents bounds the events that wait for the admission duty.
	admissionEvents = 4096
	// admissionTick is how often deadlines and ageing are looked at.
	admissionTick = 50 * time.Millisecond
	// queuedTick is how often that is done while requests wait for memory, and
	// minimumTick the least time between two looks.
	queuedTick  = 5 * time.Millisecond
	minimumTick = 200 * time.Microsecond
)

// admissionEventKind tells the events of the admission duty apart.
type admissionEventKind int

const (
	admissionSubmit admissionEventKind = iota
	admissionFinish
	admissionCancel
	admissionConfigure
)

// admissionEvent is one thing that happened to a request.
type admissionEvent struct {
	kind    admissionEventKind
	id      string
	request comfreyadmission.Request
	outcome comfreyadmission.Outcome
	config  comfreyadmission.Config
}

// admission is the duty that owns the admission controller. Other goroutines
// reach it through a bounded channel.
type admission struct {
	controller *comfreyadmission.Controller
	events     chan admissionEvent
	load       atomic.Pointer[comfreyadmission.Load]
	now        func() time.Time
	act        func(a comfreyadmission.Action)
	// sample appends the tokens that each running generation has so far. The
	// duty asks before every decision, which costs less than an event a token.
	sample  func(s []tokenSample) []tokenSample
	samples []tokenSample
	// due is when the next tick comes.
	due time.Time
}

func newAdmission(c comfreyadmission.Config, s *Sidecar) *admission {
	a := &admission{
		controller: comfreyadmission.New(c),
		events:     make(chan admissionEvent, admissionEvents),
		now:        s.config.Now,
		act:        s.apply,
		sample:     s.sampleTokens,
	}
	a.publish()
	return a
}

// send hands one event to the duty. It blocks while the channel is full and
// returns early if ctx ends.
func (a *admission) send(ctx context.Context, e admissionEvent) {
	select {
	case a.events <- e:
	case <-ctx.Done():
	}
}

// run owns the controller until ctx ends.
func (a *admission) run(ctx context.Context) error {
	t := time.NewTimer(admissionTick)
	a.due = a.now().Add(admissionTick)
	defer t.Stop()
	for {
		select {
		case e := <-a.events:
			a.handle(e)
			a.shorten(t)
		case <-t.C:
			a.progress()
			a.apply(a.controller.Tick(a.now()))
			a.publish()
			d := a.untilTick()
			a.due = a.now().Add(d)
			t.Reset(d)
		case <-ctx.Done():
			return nil
		}
	}
}

// shorten makes the next tick come earlier if what just happened asks for it.
// It never delays a tick, so that many events do not keep it from coming.
func (a *admission) shorten(t *time.Timer) {
	d := a.untilTick()
	next := a.now().Add(d)
	if next.Before(a.due) {
		a.due = next
		t.Reset(d)
	}
}

// untilTick returns the time until the next tick: as the pace of prompts asks
// while requests wait for it.
func (a *admission) untilTick() time.Duration {
	d, queued := a.controller.NextTick(a.now())
	switch {
	case !queued:
		return admissionTick
	case d == 0:
		return queuedTick
	default:
		return min(max(d, minimumTick), queuedTick)
	}
}

func (a *admission) handle(e admissionEvent) {
	a.progress()
	now := a.now()
	switch e.kind {
	case admissionSubmit:
		a.apply(a.controller.Submit(now, e.request))
	case admissionFinish:
		a.apply(a.controller.Finish(now, e.id, e.outcome))
	case admissionCancel:
		a.apply(a.controller.Cancel(now, e.id))
	case admissionConfigure:
		a.apply(a.controller.Configure(now, e.config))
	}
	a.publish()
}

// progress tells the controller of the tokens generated since the last time.
func (a *admission) progress() {
	now := a.now()
	a.samples = a.sample(a.samples[:0])
	for _, x := range a.samples {
		a.apply(a.controller.Progress(now, x.id, x.tokens))
	}
}

// tokenSample is how many tokens a running generation has.
type tokenSample struct {
	id     string
	tokens int
}

func (a *admission) apply(actions []comfreyadmission.Action) {
	for _, x := range actions {
		a.act(x)
	}
}

// publish makes the current load visible to other goroutines.
func (a *admission) publish() {
	l := a.controller.Load()
	a.load.Store(&l)
}
