package comfreyforward

import (
	"bufio"
	"bytes"
	"errors"
	"io"
)

// eventReader splits a stream of server-sent events. It returns complete events
// only, so that a stream that was truncated within an event can be resumed at
// another replica.
type eventReader struct {
	r *bufio.Reader
	// buffer holds the event that is being read.
	buffer []byte
	// id is the id of the last complete event that has one.
	id string
}

// eventBufferSize is the size of the read buffer; an event has a few hundred
// bytes.
const eventBufferSize = 4 << 10

// maxEventSize bounds one event, so that a faulty replica cannot exhaust the
// gateway's memory.
const maxEventSize = 1 << 20

// errEventTooLarge means that an event exceeds maxEventSize.
var errEventTooLarge = errors.New("comfreyforward: event exceeds 1 MiB")

// newEventReader returns a reader of a stream that begins after the event with an id.
func newEventReader(r io.Reader, id string) *eventReader {
	return &eventReader{r: bufio.NewReaderSize(r, eventBufferSize), id: id}
}

// next returns the next event including the blank line that ends it. The bytes
// are valid until the next call. At the end of a complete stream it returns
// io.EOF and any bytes after the last event.
func (e *eventReader) next() ([]byte, error) {
	e.buffer = e.buffer[:0]
	id, hasID, isPartial := "", false, false
	for {
		line, err := e.r.ReadSlice('\n')
		e.buffer = append(e.buffer, line...)
		if len(e.buffer) > maxEventSize {
			return nil, errEventTooLarge
		}
		if errors.Is(err, bufio.ErrBufferFull) {
			isPartial = true
			continue
		}
		if err != nil {
			return e.buffer, err
		}
		if isPartial {
			isPartial = false
			continue // This is the end of a line that is longer than the buffer.
		}
		line = bytes.TrimRight(line, "\r\n")
		if len(line) == 0 {
			if hasID {
				e.id = id
			}
			return e.buffer, nil
		}
		if v, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			id, hasID = string(bytes.TrimSpace(v)), true
		}
	}
}

// hasCompleteEvent reports whether the end of the next event is in the read buffer. The rest
// of one that is there in part may take a while.
func (e *eventReader) hasCompleteEvent() bool {
	b, _ := e.r.Peek(e.r.Buffered())
	return bytes.Contains(b, []byte("\n\n")) || bytes.Contains(b, []byte("\n\r\n"))
}
