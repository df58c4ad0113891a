package comfreyengine

import "bytes"

// errorPrefix opens the event by which an engine reports a failure.
var errorPrefix = []byte(`{"error":`)

var dataField = []byte("data:")

// data returns the value of an SSE data line. It reports false for any other
// line: a comment, another field or the blank line that ends an event.
func data(line []byte) ([]byte, bool) {
	b, ok := bytes.CutPrefix(line, dataField)
	if !ok {
		return nil, false
	}
	b = bytes.TrimPrefix(b, []byte(" "))
	return b, len(b) > 0
}

// finish is what an event says about the finish reason.
type finish int

const (
	finishAbsent finish = iota
	finishNull
	finishStated
)

// finishKey cannot occur inside a JSON string, where each quote is escaped.
var finishKey = []byte(`"finish_reason":`)

// finishOf searches an event for its finish reason without decoding it.
func finishOf(b []byte) finish {
	i := bytes.LastIndex(b, finishKey)
	if i < 0 {
		return finishAbsent
	}
	b = bytes.TrimLeft(b[i+len(finishKey):], " ")
	if bytes.HasPrefix(b, []byte("null")) {
		return finishNull
	}
	return finishStated
}
