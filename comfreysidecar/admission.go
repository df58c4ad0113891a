package comfreysidecar

import (
	"context"
	"sync/atomic"
	"time"

	"comfreyridge.example/comfreyridge/comfreyadmission"
)

const (
	// maxAdmissionEvents bounds the events that are queued for the admission
	// loop.
	maxAdmissionEvents = 4096
	// admissionTick is the interval at which deadlines and the ageing of queued
	// requests are checked.
	admissionTick = 50 * time.Millisecond
	// queuedTick is the longest such interval while requests are queued, and
	// minTick the shortest.
	queuedTick = 5 * time.Millisecond
	minTick    = 200 * time.Microsecond
)

// admissionEventKind is the kind of an admissionEvent.
type admissionEventKind int

const (
	admissionSubmit admissionEventKind = iota
	admissionFinish
	admissionCancel
	admissionConfigure
)

// admissionEvent is an event of a request, or a change of the configuration.
type admissionEvent struct {
	kind    admissionEventKind
	id      string
	request comfreyadmission.Request
	outcome comfreyadmission.Outcome
	config  comfreyadmission.Config
}

// admissionLoop runs the goroutine that owns the admission controller. Other
// goroutines send it events through a bounded channel.
type admissionLoop struct {
	controller *comfreyadmission.Controller
	events     chan admissionEvent
	load       atomic.Pointer[comfreyadmission.Load]
	now        func() time.Time
	perform    func(a comfreyadmission.Action)
	// sample appends the token counts of all running generations. It is called
	// before each decision, which costs less than one event for each token.
	sample  func(s []tokenSample) []tokenSample
	samples []tokenSample
	// nextTick is the time of the next tick.
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

// send queues an event. It blocks while the channel is full and drops the event
// if ctx is done first.
func (a *admissionLoop) send(ctx context.Context, e admissionEvent) {
	select {
	case a.events <- e:
	case <-ctx.Done():
	}
}

// run handles events and ticks until ctx is done.
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

// advanceTick makes the next tick earlier if the controller needs it after an
// event. It never delays a tick, so that frequent events cannot starve it.
func (a *admissionLoop) advanceTick(t *time.Timer) {
	d := a.untilTick()
	next := a.now().Add(d)
	if next.Before(a.nextTick) {
		a.nextTick = next
		t.Reset(d)
	}
}

// untilTick returns the time until the next tick. While requests are queued, it
// follows the pacing of prefill, limited to the range from minTick to
// queuedTick, and is queuedTick if the pacing does not delay the next request.
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

// reportProgress passes the current token counts of the running generations to
// the controller.
func (a *admissionLoop) reportProgress() {
	now := a.now()
	a.samples = a.sample(a.samples[:0])
	for _, x := range a.samples {
		a.apply(a.controller.Progress(now, x.id, x.tokens))
	}
}

// tokenSample is the token count of a running generation.
type tokenSample struct {
	id     string
	tokens int
}

func (a *admissionLoop) apply(actions []comfreyadmission.Action) {
	for _, x := range actions {
		a.perform(x)
	}
}

// publish makes the load of the controller visible to other goroutines.
func (a *admissionLoop) publish() {
	l := a.controller.Load()
	a.load.Store(&l)
}
