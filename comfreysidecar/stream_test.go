package comfreysidecar_test

import (
	"testing"
	"time"

	"comfreyridge.example/comfreyridge/comfreyadmission"
	"comfreyridge.example/comfreyridge/comfreydemo"
	"comfreyridge.example/comfreyridge/comfreyfakeengine"
	"comfreyridge.example/comfreyridge/comfreyfleet"
	"comfreyridge.example/comfreyridge/comfreyproto"
	"comfreyridge.example/comfreyridge/comfreysidecar"
	"comfreyridge.example/comfreyridge/comfreyverdict"
)

const (
	kindRefused = comfreyproto.FrameKind_FRAME_KIND_REFUSED
	kindFailed  = comfreyproto.FrameKind_FRAME_KIND_FAILED
	kindEnd     = comfreyproto.FrameKind_FRAME_KIND_END
)

func (b *harness) resume(t *testing.T, customer string, f *comfreyproto.Frame, after uint64) *comfreyproto.Frame {
	t.Helper()
	s, err := b.client.Resume(t.Context(), b.address, &comfreyproto.ResumeRequest{Customer: customer, Incarnation: f.Incarnation, Counter: f.Counter, After: after})
	if err != nil {
		t.Fatal(err)
	}
	defer s.Close()
	return last(t, s)
}

// A second copy of an attempt is refused while the first one runs and after it
// has ended.
func TestSameAttemptNeverRunsTwice(t *testing.T) {
	b := startHarness(t, comfreyfakeengine.Config{}, comfreysidecar.Config{})
	first := b.start(t, startRequest("a", 20))
	second := b.start(t, startRequest("a", 20))
	checkOutcome(t, last(t, second), kindRefused, comfreyverdict.VerdictMayHaveRun, comfreyverdict.ReasonDuplicateRequest)
	if f := last(t, first); f.Kind != kindEnd || f.Tokens != 20 {
		t.Errorf("got %v, want a complete generation of 20 tokens", f)
	}
	checkOutcome(t, last(t, b.start(t, startRequest("a", 20))), kindRefused, comfreyverdict.VerdictMayHaveRun, comfreyverdict.ReasonDuplicateRequest)
	if r := b.engine.Runs(); len(r) != 1 || r["a#0"].Began != 1 {
		t.Errorf("the engine ran %+v, want one generation", r)
	}
}

// Another customer can neither resume nor cancel a generation.
func TestOnlyOwnerCancelsAndResumes(t *testing.T) {
	b := startHarness(t, comfreyfakeengine.Config{}, comfreysidecar.Config{})
	s := b.start(t, startRequest("a", 1000000))
	f := next(t, s)
	checkOutcome(t, b.resume(t, "other", f, 0), kindFailed, comfreyverdict.VerdictMayHaveRun, comfreyverdict.ReasonForeignGeneration)
	cancel := func(customer string) bool {
		r, err := b.client.Sidecar(b.address).Cancel(t.Context(), &comfreyproto.CancelRequest{Customer: customer, Incarnation: f.Incarnation, Counter: f.Counter})
		if err != nil {
			t.Fatal(err)
		}
		return r.Found
	}
	if cancel("other") {
		t.Error("another customer's cancel was accepted")
	}
	for range 10 {
		if x := next(t, s); x.Kind != comfreyproto.FrameKind_FRAME_KIND_TOKENS {
			t.Fatalf("another customer ended the generation: %v", x)
		}
	}
	if !cancel(owner) {
		t.Error("the owner's cancel was refused")
	}
	checkOutcome(t, last(t, s), kindFailed, comfreyverdict.VerdictRan, comfreyverdict.ReasonCancelled)
	eventually(t, "the engine is free", func() bool { return b.engine.Load().Running == 0 })
}

// Resuming from a frame that is no longer in the replay window fails, and so
// does resuming with another incarnation.
func TestResumeOutsideReplayWindow(t *testing.T) {
	b := startHarness(t, comfreyfakeengine.Config{StepTime: 20 * time.Microsecond}, comfreysidecar.Config{})
	s := b.start(t, startRequest("a", 4000))
	f := next(t, s)
	if x := last(t, s); x.Kind != kindEnd {
		t.Fatalf("got %v, want the end of the generation", x)
	}
	checkOutcome(t, b.resume(t, owner, f, 0), kindFailed, comfreyverdict.VerdictRan, comfreyverdict.ReasonReplayWindowPassed)
	if x := b.resume(t, owner, f, 3990); x.Kind != kindEnd || x.Tokens != 4000 {
		t.Errorf("within the replay window: got %v, want a complete generation of 4000 tokens", x)
	}
	f.Incarnation++
	checkOutcome(t, b.resume(t, owner, f, 3990), kindFailed, comfreyverdict.VerdictMayHaveRun, comfreyverdict.ReasonUnknownGeneration)
}

// A generation without a reader is cancelled after the orphan timeout, which
// frees the engine.
func TestOrphanedGenerationIsCancelled(t *testing.T) {
	b := startHarness(t, comfreyfakeengine.Config{}, comfreysidecar.Config{OrphanTimeout: 50 * time.Millisecond})
	s := b.start(t, startRequest("a", 1000000))
	f := next(t, s)
	eventually(t, "the engine runs the generation", func() bool { return b.engine.Load().Running == 1 })
	s.Close()
	eventually(t, "the engine is free", func() bool { return b.engine.Runs()["a#0"].Cancelled == 1 })
	checkOutcome(t, b.resume(t, owner, f, 0), kindFailed, comfreyverdict.VerdictRan, comfreyverdict.ReasonCallerGone)
}

// A request whose deadline passes in the queue is refused with the verdict
// not-run and never reaches the engine.
func TestDeadlineInQueueIsNotRun(t *testing.T) {
	b := startHarness(t, comfreyfakeengine.Config{}, comfreysidecar.Config{Admission: comfreyadmission.Config{CapacityTokens: 1000}})
	b.start(t, startRequest("large", 900))
	eventually(t, "the engine runs the first", func() bool { return len(b.engine.Runs()) == 1 })
	b.engine.Stall()
	defer b.engine.Resume()
	r := startRequest("late", 900)
	r.TimeoutMillis = 150
	checkOutcome(t, last(t, b.start(t, r)), kindRefused, comfreyverdict.VerdictNotRun, comfreyverdict.ReasonDeadline)
	if n := len(b.engine.Runs()); n != 1 {
		t.Errorf("the engine received %d requests, want 1", n)
	}
}

// After a host list names the host as leaving, new requests are refused while a
// running generation completes.
func TestNothingRunsAfterLeaving(t *testing.T) {
	b := startHarness(t, comfreyfakeengine.Config{}, comfreysidecar.Config{})
	running := b.start(t, startRequest("before", 50))
	eventually(t, "the engine runs the first", func() bool { return len(b.engine.Runs()) == 1 })
	m := comfreyfleet.Member{Host: host, Service: comfreydemo.GenerationService, State: comfreyfleet.StateLeaving}
	b.sidecar.ObserveView(comfreyfleet.NewView(1, time.Now(), []comfreyfleet.Member{m}))
	checkOutcome(t, last(t, b.start(t, startRequest("after", 5))), kindRefused, comfreyverdict.VerdictNotRun, comfreyverdict.ReasonLeaving)
	if f := last(t, running); f.Kind != kindEnd || f.Tokens != 50 {
		t.Errorf("the running generation: got %v, want a complete one of 50 tokens", f)
	}
	if n := len(b.engine.Runs()); n != 1 {
		t.Errorf("the engine received %d requests, want 1", n)
	}
}
