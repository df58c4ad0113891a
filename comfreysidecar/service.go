package comfreysidecar

import (
	"context"
	"fmt"

	"comfreyridge.example/comfreyridge/comfreyconfig"
	"comfreyridge.example/comfreyridge/comfreydecision"
	"comfreyridge.example/comfreyridge/comfreyproto"
	"comfreyridge.example/comfreyridge/comfreyrpc"
	"comfreyridge.example/comfreyridge/comfreyverdict"
)

// Report implements the twirp service: it renews the leases of a gateway's
// generations and exchanges load reports, host states and crash records.
func (s *Sidecar) Report(_ context.Context, r *comfreyproto.ReportRequest) (*comfreyproto.ReportReply, error) {
	s.config.ObserveDigest(r.Digest)
	s.observeListedState(r.Listed)
	s.quarantine.merge(r.Crashes)
	if r.Incarnation == uint64(s.config.Incarnation) {
		for _, n := range r.Renewals {
			if g := s.table.find(n.Counter); g != nil {
				g.acknowledge(n.Seq, s.config.Now())
			}
		}
	}
	return &comfreyproto.ReportReply{Load: s.Load(), Digest: s.config.Digest(), Crashes: s.quarantine.gossipBatch()}, nil
}

// Cancel implements the twirp service: it cancels a generation of the customer.
func (s *Sidecar) Cancel(_ context.Context, r *comfreyproto.CancelRequest) (*comfreyproto.CancelReply, error) {
	if r.Incarnation != uint64(s.config.Incarnation) {
		return &comfreyproto.CancelReply{}, nil
	}
	g := s.table.find(r.Counter)
	if g == nil || g.request.Customer != r.Customer {
		return &comfreyproto.CancelReply{}, nil
	}
	if !g.mayCancel(r.RequestId) {
		return &comfreyproto.CancelReply{}, nil
	}
	s.cancel(g, cancelReasonOf(r.Reason))
	return &comfreyproto.CancelReply{Found: true}, nil
}

// cancelReasonOf returns the cancel reason for a string from the wire. Unknown
// strings become ReasonCancelled, so that no arbitrary reason is recorded.
func cancelReasonOf(r string) comfreyverdict.Reason {
	if r == string(comfreyverdict.ReasonCallerGone) || r == string(comfreyverdict.ReasonSlowReader) {
		return comfreyverdict.Reason(r)
	}
	return comfreyverdict.ReasonCancelled
}

// Forward implements the twirp service: it sends a unary request to a plain
// service, at most once.
func (s *Sidecar) Forward(ctx context.Context, r *comfreyproto.ForwardRequest) (*comfreyproto.ForwardReply, error) {
	s.config.ObserveDigest(r.Digest)
	s.observeListedState(r.Listed)
	a, err := s.forward(ctx, r)
	if err != nil {
		e := comfreyverdict.From(err)
		s.recorder.Record(r.RequestId, comfreydecision.KindRefuse, e.Reason, map[string]any{"verdict": e.Verdict, "detail": e.Detail})
		return &comfreyproto.ForwardReply{Outcome: comfreyrpc.OutcomeOf(e), Load: s.Load()}, nil
	}
	s.recorder.Record(r.RequestId, comfreydecision.KindFinish, comfreyverdict.ReasonAccepted, map[string]any{"status": a.status, "customer": r.Customer})
	return &comfreyproto.ForwardReply{Status: uint32(a.status), Headers: comfreyrpc.HeadersOf(a.headers), Body: a.body, Load: s.Load()}, nil
}

func (s *Sidecar) forward(ctx context.Context, r *comfreyproto.ForwardRequest) (upstreamResponse, error) {
	if !s.table.recordAttempt(attemptKey(r.RequestId, 0), s.config.Now()) {
		return upstreamResponse{}, comfreyverdict.MayHaveRun(comfreyverdict.ReasonDuplicateRequest, "the sidecar has seen this request before")
	}
	if _, err := s.checkService(r.Service, len(r.Body)); err != nil {
		return upstreamResponse{}, err
	}
	if err := s.checkLifecycle(); err != nil {
		return upstreamResponse{}, err
	}
	ctx, cancel := context.WithTimeout(ctx, s.unaryTimeout(r.TimeoutMillis))
	defer cancel()
	return s.upstream.do(ctx, upstreamCall{requestID: r.RequestId, method: r.Method, path: r.Path, headers: r.Headers, body: r.Body})
}

// checkService returns the settings of the service if this sidecar serves it
// and accepts a body of that size. The error is a comfreyverdict.Error with
// verdict not-run.
func (s *Sidecar) checkService(service string, bodyBytes int) (comfreyconfig.Service, error) {
	v, ok := s.config.service()
	if !ok {
		return v, comfreyverdict.NotRun(comfreyverdict.ReasonNoConfiguration, "the sidecar has no configuration of its service")
	}
	if v.Name != service {
		return v, comfreyverdict.NotRun(comfreyverdict.ReasonUnknownService, fmt.Sprintf("this upstream serves %s", v.Name))
	}
	if bodyBytes > v.MaxBodyBytes {
		return v, comfreyverdict.NotRun(comfreyverdict.ReasonBodyTooLarge, fmt.Sprintf("the body has %d bytes, the limit is %d", bodyBytes, v.MaxBodyBytes))
	}
	return v, nil
}
