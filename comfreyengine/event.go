package comfreyengine

import "bytes"

// errorPrefix begins the event with which an engine reports a failure.
var errorPrefix = []byte(`{"error":`)

var dataField = []byte("data:")

// data returns the value of an SSE data line. It returns false for any other
// line: a comment, another field or the blank line that ends an event.
func data(line []byte) ([]byte, bool) {
	b, ok := bytes.CutPrefix(line, dataField)
	if !ok {
		return nil, false
	}
	b = bytes.TrimPrefix(b, []byte(" "))
	return b, len(b) > 0
}

// finishState is what an event states about the finish reason: no such field,
// null, or a reason.
type finishState int

const (
	finishAbsent finishState = iota
	finishNull
	finishStated
)

// finishKey cannot occur inside a JSON string, where each quote is escaped.
var finishKey = []byte(`"finish_reason":`)

// parseFinishState searches an event for its finish reason without decoding the
// JSON.
func parseFinishState(b []byte) finishState {
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
