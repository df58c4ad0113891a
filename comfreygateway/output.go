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

// output writes one answer to a caller. The function fields hold what differs
// between a stream of events and a whole answer. It is not safe for concurrent
// use.
type output struct {
	// token takes one chunk. The data is valid during the call only.
	token func(e comfreystream.EventID, data []byte) error
	// flush sends what was taken so far.
	flush func() error
	// heartbeat tells a waiting caller that the request is alive.
	heartbeat func() error
	// end completes the answer.
	end func(e comfreystream.EventID) error
	// fail ends the answer with a typed refusal or failure.
	fail func(e comfreyverdict.Error)
}

// callerConnection is the connection to a caller. Its writes are bounded in
// time.
type callerConnection struct {
	w        http.ResponseWriter
	control  *http.ResponseController
	deadline *comfreyrpc.WriteDeadline
	timeout  time.Duration
	now      func() time.Time
	buffer   []byte
}

func newCallerConnection(w http.ResponseWriter, timeout time.Duration, now func() time.Time) *callerConnection {
	c := http.NewResponseController(w)
	return &callerConnection{w: w, control: c, deadline: comfreyrpc.NewWriteDeadline(c, timeout), timeout: timeout, now: now}
}

// flush writes the buffer. The error tells a slow reader from a lost one.
func (c *callerConnection) flush() error {
	if len(c.buffer) == 0 {
		return nil
	}
	c.deadline.Begin(c.now())
	_, err := c.w.Write(c.buffer)
	c.buffer = c.buffer[:0]
	if err == nil {
		err = c.control.Flush()
	}
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return comfreyverdict.Ran(comfreyverdict.ReasonSlowReader, "the caller did not read for "+c.timeout.String())
	}
	if err != nil {
		return comfreyverdict.Ran(comfreyverdict.ReasonCallerGone, err.Error())
	}
	return nil
}

// doneData ends a stream of events for an OpenAI-style client.
const doneData = "[DONE]"

// isEventData reports whether a chunk can be sent as one event that no client
// takes for the end. A line break would begin another field of the event.
func isEventData(b []byte) bool {
	return bytes.IndexByte(b, '\n') < 0 && bytes.IndexByte(b, '\r') < 0 && string(bytes.TrimSpace(b)) != doneData
}

// newEventOutput returns an output that streams server-sent events.
func newEventOutput(c *callerConnection, requestID string) output {
	begun := false
	begin := func() {
		if begun {
			return
		}
		begun = true
		h := c.w.Header()
		h.Set("Content-Type", "text/event-stream")
		h.Set("Cache-Control", "no-store")
		h.Set("X-Accel-Buffering", "no")
		c.w.WriteHeader(http.StatusOK)
	}
	event := func(e comfreystream.EventID, data []byte) {
		begin()
		c.buffer = append(c.buffer, "id: "...)
		c.buffer = e.AppendTo(c.buffer)
		c.buffer = append(c.buffer, "\ndata: "...)
		c.buffer = append(c.buffer, data...)
		c.buffer = append(c.buffer, "\n\n"...)
	}
	return output{
		token: func(e comfreystream.EventID, data []byte) error {
			event(e, data)
			return nil
		},
		flush: c.flush,
		heartbeat: func() error {
			begin()
			c.buffer = append(c.buffer, ": heartbeat\n\n"...)
			return c.flush()
		},
		end: func(e comfreystream.EventID) error {
			event(e, []byte(doneData))
			return c.flush()
		},
		fail: func(e comfreyverdict.Error) {
			if !begun {
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

// newWholeOutput returns an output that sends the answer as one JSON object
// once it is complete.
func newWholeOutput(c *callerConnection, requestID string, chat bool) output {
	a := NewResponseAssembler(chat)
	nothing := func() error { return nil }
	return output{
		token: func(_ comfreystream.EventID, data []byte) error {
			if err := a.Add(data); err != nil {
				return comfreyverdict.Ran(comfreyverdict.ReasonEngineFailed, err.Error())
			}
			return nil
		},
		flush:     nothing,
		heartbeat: nothing,
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
