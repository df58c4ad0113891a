package comfreyrpc

import (
	"time"

	"comfreyridge.example/comfreyridge/comfreyplacement"
	"comfreyridge.example/comfreyridge/comfreyproto"
	"comfreyridge.example/comfreyridge/comfreyreturn"
)

// EncodeWaiting converts requests in queues to the wire format.
func EncodeWaiting(l []comfreyplacement.Waiter) []*comfreyproto.WaitingRequest {
	var m []*comfreyproto.WaitingRequest
	for _, w := range l {
		m = append(m, &comfreyproto.WaitingRequest{Service: w.Service, Priority: uint32(max(w.Priority, 0)), PromptTokens: uint32(max(w.PromptTokens, 0)), TargetMillis: Millis(w.Target)})
	}
	return m
}

// DecodeWaiting converts requests in queues from the wire format. They have no ids.
func DecodeWaiting(m []*comfreyproto.WaitingRequest) []comfreyplacement.Waiter {
	var l []comfreyplacement.Waiter
	for _, w := range m {
		l = append(l, comfreyplacement.Waiter{Service: w.Service, Priority: int(w.Priority), PromptTokens: int(w.PromptTokens), Target: Duration(w.TargetMillis)})
	}
	return l
}

// EncodeRefused converts refusals to the wire format. The time of a return is sent as
// the time until then, because the clocks of two processes differ.
func EncodeRefused(l []comfreyreturn.Refusal, now time.Time) []*comfreyproto.RefusedRequest {
	var m []*comfreyproto.RefusedRequest
	for _, r := range l {
		m = append(m, &comfreyproto.RefusedRequest{Service: r.Service, Key: r.Key[:], DueMillis: Millis(max(r.Due.Sub(now), 0))})
	}
	return m
}

// DecodeRefused converts refusals from the wire format. Those without a valid key are
// omitted.
func DecodeRefused(m []*comfreyproto.RefusedRequest, now time.Time) []comfreyreturn.Refusal {
	var l []comfreyreturn.Refusal
	for _, r := range m {
		if len(r.Key) == len(comfreyreturn.Key{}) {
			l = append(l, comfreyreturn.Refusal{Service: r.Service, Key: comfreyreturn.Key(r.Key), Due: now.Add(Duration(r.DueMillis))})
		}
	}
	return l
}
