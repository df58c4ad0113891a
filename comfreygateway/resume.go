package comfreygateway

import (
	"net/http"

	"github.com/go-chi/chi/v5"

	"comfreyridge.example/comfreyridge/comfreyconfig"
	"comfreyridge.example/comfreyridge/comfreydecision"
	"comfreyridge.example/comfreyridge/comfreyproto"
	"comfreyridge.example/comfreyridge/comfreystream"
	"comfreyridge.example/comfreyridge/comfreyverdict"
)

// serveStream serves GET /v1/streams/{id}: it resumes a stream after the event
// in the header Last-Event-ID, or from the start without that header.
func (g *Gateway) serveStream(w http.ResponseWriter, r *http.Request) {
	id, c, ok := g.beginRequest(w, r)
	if !ok {
		return
	}
	lastEventID := r.Header.Get("Last-Event-ID")
	if lastEventID == "" {
		lastEventID = chi.URLParam(r, "id") + "/0"
	}
	g.resume(w, r, id, c, lastEventID)
}

// resume resumes a stream on a new connection from the caller. The stream may
// have been served by another gateway before.
func (g *Gateway) resume(w http.ResponseWriter, r *http.Request, id string, c comfreyconfig.Customer, lastEventID string) {
	e, err := comfreystream.ParseEventID(lastEventID)
	if err != nil {
		g.refuse(w, id, comfreyverdict.NotRun(comfreyverdict.ReasonBadRequest, "the header Last-Event-ID is malformed"))
		return
	}
	m, ok := g.fleet.find(e.Generation.Host)
	if !ok {
		g.refuse(w, id, comfreyverdict.MayHaveRun(comfreyverdict.ReasonUnknownGeneration, "the host of the generation is not listed"))
		return
	}
	v, ok := g.config.Settings().Service(m.Service)
	if !ok {
		g.refuse(w, id, comfreyverdict.MayHaveRun(comfreyverdict.ReasonUnknownGeneration, "the service of the generation is not configured"))
		return
	}
	q := generationRequest{id: id, customer: c, stream: true, route: comfreyconfig.Route{Service: v}, deadline: g.config.Now().Add(v.Deadline)}
	s := &session{gateway: g, request: q, output: g.newOutput(w, q), responseHeader: w.Header(), acceptedAt: g.config.Now(), lastArrival: g.config.Now(), member: m}
	s.lastSeq = e.Seq
	s.resumedAfter = e.Seq
	s.sequencer = comfreystream.NewSequencer(e.Generation, e.Seq)
	g.requestTracker.Accept(id, q.deadline)
	ctx, cancel := g.requestContext(r.Context(), q.deadline)
	defer cancel()
	g.sessions.add(s)
	attempts := 0
	stream, err := s.reconnect(ctx, &attempts)
	if err == nil {
		err = s.relay(ctx, stream)
	}
	if err != nil {
		err = s.withContextCause(ctx, err)
	}
	s.finish(err)
}

// serveCancel serves DELETE /v1/streams/{id}: it cancels a generation, which
// frees its KV cache in the engine at once.
func (g *Gateway) serveCancel(w http.ResponseWriter, r *http.Request) {
	id, c, ok := g.beginRequest(w, r)
	if !ok {
		return
	}
	n, err := comfreystream.ParseGenerationID(chi.URLParam(r, "id"))
	if err != nil {
		g.refuse(w, id, comfreyverdict.NotRun(comfreyverdict.ReasonBadRequest, "the stream id is malformed"))
		return
	}
	m, ok := g.fleet.find(n.Host)
	if !ok {
		g.refuse(w, id, comfreyverdict.MayHaveRun(comfreyverdict.ReasonUnknownGeneration, "the host of the generation is not listed"))
		return
	}
	reply, err := g.client.Sidecar(m.Address).Cancel(r.Context(), &comfreyproto.CancelRequest{
		Customer:    c.Name,
		Incarnation: n.Incarnation,
		Counter:     n.Counter,
	})
	if err != nil {
		g.refuse(w, id, comfreyverdict.MayHaveRun(comfreyverdict.ReasonConnectionLost, err.Error()))
		return
	}
	if !reply.Found {
		g.refuse(w, id, comfreyverdict.MayHaveRun(comfreyverdict.ReasonUnknownGeneration, "the sidecar does not know the generation"))
		return
	}
	g.recorder.Record(id, comfreydecision.KindFinish, comfreyverdict.ReasonCancelled, map[string]any{"generation": n.String(), "customer": c.Name})
	w.WriteHeader(http.StatusNoContent)
}
