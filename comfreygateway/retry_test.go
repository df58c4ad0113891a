package comfreygateway

import (
	"testing"
	"time"

	"comfreyridge.example/comfreyridge/comfreyverdict"
)

// An attempt that found no upstream must not hide the retry-after of the
// refusal before it, while a later failure of an upstream must replace that
// refusal.
func TestNoUpstreamKeepsPreviousError(t *testing.T) {
	var a attemptErrors
	full := comfreyverdict.NotRun(comfreyverdict.ReasonAdmissionFull, "full").WithRetryAfter(3 * time.Second)
	a.add(full)
	a.add(comfreyverdict.NotRun(comfreyverdict.ReasonNoUpstream, "none left"))
	if e := a.final(); e != full {
		t.Errorf("got %+v, want the refusal of the attempt before", e)
	}
	a.add(comfreyverdict.MayHaveRun(comfreyverdict.ReasonConnectionLost, "lost"))
	if e := a.final(); e.Verdict != comfreyverdict.VerdictMayHaveRun || e.Reason != comfreyverdict.ReasonConnectionLost {
		t.Errorf("got %+v, want may-have-run with reason connection-lost", e)
	}
}

// A request that did not run for a transient reason must have a retry-after;
// one that may have run must have none.
func TestFinalErrorHasRetryAfter(t *testing.T) {
	for reason, want := range map[comfreyverdict.Reason]time.Duration{
		comfreyverdict.ReasonDialFailed: defaultRetryAfter,
		comfreyverdict.ReasonLeaving:    defaultRetryAfter,
		comfreyverdict.ReasonBadRequest: 0,
	} {
		var a attemptErrors
		a.add(comfreyverdict.NotRun(reason, ""))
		if e := a.final(); e.RetryAfter != want {
			t.Errorf("%s: got retry-after %s, want %s", reason, e.RetryAfter, want)
		}
	}
	var f attemptErrors
	f.add(comfreyverdict.MayHaveRun(comfreyverdict.ReasonConnectionLost, ""))
	if e := f.final(); e.RetryAfter != 0 {
		t.Errorf("a request that may have run has retry-after %s, want none", e.RetryAfter)
	}
}
