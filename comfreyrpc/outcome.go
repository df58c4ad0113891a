package comfreyrpc

import (
	"time"

	"comfreyridge.example/comfreyridge/comfreyproto"
	"comfreyridge.example/comfreyridge/comfreyverdict"
)

// OutcomeOf converts a typed error to the wire format.
func OutcomeOf(e comfreyverdict.Error) *comfreyproto.Outcome {
	return &comfreyproto.Outcome{
		Verdict:          verdictToWire(e.Verdict),
		Reason:           string(e.Reason),
		RetryAfterMillis: Millis(e.RetryAfter),
		Detail:           e.Detail,
	}
}

// ErrorOf converts an outcome from the wire format. A nil outcome becomes an error
// with the verdict that the work may have run.
func ErrorOf(o *comfreyproto.Outcome) comfreyverdict.Error {
	if o == nil {
		return comfreyverdict.MayHaveRun(comfreyverdict.ReasonInternal, "the response carries no outcome")
	}
	return comfreyverdict.Error{
		Verdict:    verdictFromWire(o.Verdict),
		Reason:     comfreyverdict.Reason(o.Reason),
		RetryAfter: Duration(o.RetryAfterMillis),
		Detail:     o.Detail,
	}
}

func verdictToWire(v comfreyverdict.Verdict) comfreyproto.Verdict {
	switch v {
	case comfreyverdict.VerdictNotRun:
		return comfreyproto.Verdict_VERDICT_NOT_RUN
	case comfreyverdict.VerdictRan:
		return comfreyproto.Verdict_VERDICT_RAN
	default:
		return comfreyproto.Verdict_VERDICT_MAY_HAVE_RUN
	}
}

func verdictFromWire(v comfreyproto.Verdict) comfreyverdict.Verdict {
	switch v {
	case comfreyproto.Verdict_VERDICT_NOT_RUN:
		return comfreyverdict.VerdictNotRun
	case comfreyproto.Verdict_VERDICT_RAN:
		return comfreyverdict.VerdictRan
	default:
		return comfreyverdict.VerdictMayHaveRun
	}
}

// Millis converts a duration to whole milliseconds, rounded up. A negative
// duration becomes 0.
func Millis(d time.Duration) uint64 {
	if d <= 0 {
		return 0
	}
	return uint64((d + time.Millisecond - 1) / time.Millisecond)
}

// maxMillis prevents an overflow of a duration from the wire.
const maxMillis = uint64(1) << 42

// Duration converts whole milliseconds to a duration. Values beyond about 139
// years are capped.
func Duration(millis uint64) time.Duration {
	return time.Duration(min(millis, maxMillis)) * time.Millisecond
}
