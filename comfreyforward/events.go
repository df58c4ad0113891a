package comfreyforward

import (
	"bufio"
	"bytes"
	"errors"
	"io"
)

// eventReader splits a stream of server-sent events. It returns whole events
// only, so that a stream that was cut in the middle of one can go on elsewhere.
type eventReader struct {
	r *bufio.Reader
	// buffer holds the event that is being read.
	buffer []byte
	// id is the id of the last whole event.
	id string
}

// eventBuffer is the size of the read buffer; an event has some hundred bytes.
const eventBuffer = 4 << 10

// maxEvent bounds one event, so that a faulty replica cannot fill the memory.
const maxEvent = 1 << 20

// errEventTooLarge means that an event exceeds maxEvent.
var errEventTooLarge = errors.New("comfreyforward: an event exceeds 1 MiB")

func newEventReader(r io.Reader) *eventReader {
	return &eventReader{r: bufio.NewReaderSize(r, eventBuffer)}
}

// next returns the next event with the blank line that ends it. The bytes are
// valid until the next call. At the end of a complete stream it returns io.EOF,
// with what follows the last event.
func (e *eventReader) next() ([]byte, error) {
	e.buffer = e.buffer[:0]
	id, hasID, isPartial := "", false, false
	for {
		line, err := e.r.ReadSlice('\n')
		e.buffer = append(e.buffer, line...)
		if len(e.buffer) > maxEvent {
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
			continue // The end of a line that is longer than the buffer.
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

// hasMore reports whether the next event has begun to arrive.
func (e *eventReader) hasMore() bool {
	return e.r.Buffered() > 0
}
