package comfreysidecar

import (
	"context"
	"sync/atomic"
	"time"

	"comfreyridge.example/comfreyridge/comfreyadmission"
)

const (
	// maxAdmissionEvents bounds the events that wait for the admission duty.
	maxAdmissionEvents = 4096
	// admissionTick is how often deadlines and ageing are looked at.
	admissionTick = 50 * time.Millisecond
	// queuedTick is how often that is done while requests wait for memory, and
	// minimumTick the least time between two looks.
	queuedTick = 5 * time.Millisecond
	minTick    = 200 * time.Microsecond
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

// admissionLoop is the duty that owns the admissionLoop controller. Other goroutines
// reach it through a bounded channel.
type admissionLoop struct {
	controller *comfreyadmission.Controller
	events     chan admissionEvent
	load       atomic.Pointer[comfreyadmission.Load]
	now        func() time.Time
	perform    func(a comfreyadmission.Action)
	// sample appends the tokens that each running generation has so far. The
	// duty asks before every decision, which costs less than an event a token.
	sample  func(s []tokenSample) []tokenSample
	samples []tokenSample
	// nextTick is when the next tick comes.
	nextTick time.Time
}

func newAdmissionLoop(c comfreyadmission.Config, s *Sidecar) *admissionLoop {
	a := &admissionLoop{
		controller: comfreyadmission.New(c),
		events:     make(chan admissionEvent, maxAdmissionEvents),
		now:        s.config.Now,
		perform:    s.apply,
		sample:     s.sampleTokens,
	}
	a.publish()
	return a
}

// send hands one event to the duty. It blocks while the channel is full and
// returns early if ctx ends.
func (a *admissionLoop) send(ctx context.Context, e admissionEvent) {
	select {
	case a.events <- e:
	case <-ctx.Done():
	}
}

// run owns the controller until ctx ends.
func (a *admissionLoop) run(ctx context.Context) error {
	t := time.NewTimer(admissionTick)
	a.nextTick = a.now().Add(admissionTick)
	defer t.Stop()
	for {
		select {
		case e := <-a.events:
			a.handle(e)
			a.advanceTick(t)
		case <-t.C:
			a.reportProgress()
			a.apply(a.controller.Tick(a.now()))
			a.publish()
			d := a.untilTick()
			a.nextTick = a.now().Add(d)
			t.Reset(d)
		case <-ctx.Done():
			return nil
		}
	}
}

// advanceTick makes the next tick come earlier if what just happened asks for it.
// It never delays a tick, so that many events do not keep it from coming.
func (a *admissionLoop) advanceTick(t *time.Timer) {
	d := a.untilTick()
	next := a.now().Add(d)
	if next.Before(a.nextTick) {
		a.nextTick = next
		t.Reset(d)
	}
}

// untilTick returns the time until the next tick: as the pace of prompts asks
// while requests wait for it.
func (a *admissionLoop) untilTick() time.Duration {
	d, queued := a.controller.NextTick(a.now())
	switch {
	case !queued:
		return admissionTick
	case d == 0:
		return queuedTick
	default:
		return min(max(d, minTick), queuedTick)
	}
}

func (a *admissionLoop) handle(e admissionEvent) {
	a.reportProgress()
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

// reportProgress tells the controller of the tokens generated since the last time.
func (a *admissionLoop) reportProgress() {
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

func (a *admissionLoop) apply(actions []comfreyadmission.Action) {
	for _, x := range actions {
		a.perform(x)
	}
}

// publish makes the current load visible to other goroutines.
func (a *admissionLoop) publish() {
	l := a.controller.Load()
	a.load.Store(&l)
}
