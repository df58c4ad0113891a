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
