package comfreygateway

import (
	"testing"
	"time"

	"comfreyridge.example/comfreyridge/comfreyverdict"
)

func TestLastRefusalCountsWhenNoUpstreamIsLeft(t *testing.T) {
	var f failures
	full := comfreyverdict.NotRun(comfreyverdict.ReasonAdmissionFull, "full").WithRetryAfter(3 * time.Second)
	f.add(full)
	f.add(comfreyverdict.NotRun(comfreyverdict.ReasonNoUpstream, "none left"))
	if e := f.final(); e != full {
		t.Errorf("got %+v", e)
	}
	f.add(comfreyverdict.MayHaveRun(comfreyverdict.ReasonConnectionLost, "lost"))
	if e := f.final(); e.Verdict != comfreyverdict.VerdictMayHaveRun || e.Reason != comfreyverdict.ReasonConnectionLost {
		t.Errorf("got %+v", e)
	}
}

func TestRefusalTellsWhenToComeBack(t *testing.T) {
	for reason, want := range map[comfreyverdict.Reason]time.Duration{
		comfreyverdict.ReasonDialFailed: defaultReturn,
		comfreyverdict.ReasonLeaving:    defaultReturn,
		comfreyverdict.ReasonBadRequest: 0,
	} {
		var f failures
		f.add(comfreyverdict.NotRun(reason, ""))
		if e := f.final(); e.RetryAfter != want {
			t.Errorf("%s: told to come back after %s, want %s", reason, e.RetryAfter, want)
		}
	}
	var f failures
	f.add(comfreyverdict.MayHaveRun(comfreyverdict.ReasonConnectionLost, ""))
	if e := f.final(); e.RetryAfter != 0 {
		t.Errorf("a request that may have run is told to come back after %s", e.RetryAfter)
	}
}
