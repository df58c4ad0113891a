package comfreygateway

import (
	"bytes"
	"encoding/json"
	"errors"
	"net/http"
	"os"
	"time"

	"comfreyridge.example/comfreyridge/comfreyrpc"
	"comfreyridge.example/comfreyridge/comfreystream"
	"comfreyridge.example/comfreyridge/comfreyverdict"
)

// output writes one response to a caller. The function fields differ between a
// stream of events and a unary response. It is not safe for concurrent use.
type output struct {
	// writeChunk writes one chunk. It does not retain data.
	writeChunk func(e comfreystream.EventID, data []byte) error
	// flush sends the chunks written so far.
	flush func() error
	// heartbeat shows a waiting caller that the request is still open.
	heartbeat func() error
	// end completes the response.
	end func(e comfreystream.EventID) error
	// fail ends the response with a refusal or failure.
	fail func(e comfreyverdict.Error)
}

// callerConnection is the connection to a caller. Each write is bounded by the
// write timeout.
type callerConnection struct {
	w          http.ResponseWriter
	controller *http.ResponseController
	deadline   *comfreyrpc.WriteDeadline
	timeout    time.Duration
	now        func() time.Time
	buffer     []byte
}

func newCallerConnection(w http.ResponseWriter, timeout time.Duration, now func() time.Time) *callerConnection {
	c := http.NewResponseController(w)
	return &callerConnection{w: w, controller: c, deadline: comfreyrpc.NewWriteDeadline(c, timeout), timeout: timeout, now: now}
}

// flush writes the buffer. Its error has ReasonSlowReader if the write timed
// out and ReasonCallerGone if the connection failed.
func (c *callerConnection) flush() error {
	if len(c.buffer) == 0 {
		return nil
	}
	c.deadline.Begin(c.now())
	_, err := c.w.Write(c.buffer)
	c.buffer = c.buffer[:0]
	if err == nil {
		err = c.controller.Flush()
	}
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return comfreyverdict.Ran(comfreyverdict.ReasonSlowReader, "the caller did not read for "+c.timeout.String())
	}
	if err != nil {
		return comfreyverdict.Ran(comfreyverdict.ReasonCallerGone, err.Error())
	}
	return nil
}

// doneData is the data of the event that ends an OpenAI-style stream.
const doneData = "[DONE]"

// isEventData reports whether a chunk can be sent as the data of one event. A
// line break would start another field of the event, and doneData would end the
// stream for the client.
func isEventData(b []byte) bool {
	return bytes.IndexByte(b, '\n') < 0 && bytes.IndexByte(b, '\r') < 0 && string(bytes.TrimSpace(b)) != doneData
}

// newEventOutput returns an output that streams server-sent events.
func newEventOutput(c *callerConnection, requestID string) output {
	started := false
	start := func() {
		if started {
			return
		}
		started = true
		h := c.w.Header()
		h.Set("Content-Type", "text/event-stream")
		h.Set("Cache-Control", "no-store")
		h.Set("X-Accel-Buffering", "no")
		c.w.WriteHeader(http.StatusOK)
	}
	appendEvent := func(e comfreystream.EventID, data []byte) {
		start()
		c.buffer = append(c.buffer, "id: "...)
		c.buffer = e.AppendTo(c.buffer)
		c.buffer = append(c.buffer, "\ndata: "...)
		c.buffer = append(c.buffer, data...)
		c.buffer = append(c.buffer, "\n\n"...)
	}
	return output{
		writeChunk: func(e comfreystream.EventID, data []byte) error {
			appendEvent(e, data)
			return nil
		},
		flush: c.flush,
		heartbeat: func() error {
			start()
			c.buffer = append(c.buffer, ": heartbeat\n\n"...)
			return c.flush()
		},
		end: func(e comfreystream.EventID) error {
			appendEvent(e, []byte(doneData))
			return c.flush()
		},
		fail: func(e comfreyverdict.Error) {
			if !started {
				writeRefusal(c.w, e, requestID)
				return
			}
			b, _ := json.Marshal(refusalOf(e, requestID))
			c.buffer = append(c.buffer, "event: error\ndata: "...)
			c.buffer = append(c.buffer, b...)
			c.buffer = append(c.buffer, "\n\n"...)
			_ = c.flush()
		},
	}
}

// newUnaryOutput returns an output that sends one JSON object once the response
// is complete.
func newUnaryOutput(c *callerConnection, requestID string, chat bool) output {
	a := NewResponseAssembler(chat)
	noop := func() error { return nil }
	return output{
		writeChunk: func(_ comfreystream.EventID, data []byte) error {
			if err := a.Add(data); err != nil {
				return comfreyverdict.Ran(comfreyverdict.ReasonEngineFailed, err.Error())
			}
			return nil
		},
		flush:     noop,
		heartbeat: noop,
		end: func(comfreystream.EventID) error {
			b, err := a.Body()
			if err != nil {
				return comfreyverdict.Ran(comfreyverdict.ReasonEngineFailed, err.Error())
			}
			c.w.Header().Set("Content-Type", "application/json")
			c.buffer = append(c.buffer, b...)
			return c.flush()
		},
		fail: func(e comfreyverdict.Error) { writeRefusal(c.w, e, requestID) },
	}
}
