package comfreyengine

import (
	"bytes"
	"encoding/json"

	"comfreyridge.example/comfreyridge/comfreyverdict"
)

// streamOptions holds the fields of "stream_options" as the caller sent them.
type streamOptions map[string]json.RawMessage

// streamingBody returns the JSON object b, changed to request a stream that
// reports its usage. All other fields keep their values. It refuses a request
// for several choices, because the token count of the protocol does not tell
// them apart.
func streamingBody(b []byte) ([]byte, error) {
	var m map[string]json.RawMessage
	err := json.Unmarshal(b, &m)
	if err != nil || m == nil {
		return nil, comfreyverdict.NotRun(comfreyverdict.ReasonBadRequest, "the body is not a JSON object")
	}
	if !isOneChoice(m["n"]) {
		return nil, comfreyverdict.NotRun(comfreyverdict.ReasonBadRequest, "a stream has one choice: n must be 1")
	}
	var o streamOptions
	if len(m["stream_options"]) > 0 && json.Unmarshal(m["stream_options"], &o) != nil {
		return nil, comfreyverdict.NotRun(comfreyverdict.ReasonBadRequest, "stream_options is not a JSON object")
	}
	if isTrue(m["stream"]) && isTrue(o["include_usage"]) {
		return b, nil
	}
	if o == nil {
		o = make(streamOptions, 1)
	}
	o["include_usage"] = json.RawMessage("true")
	m["stream"] = json.RawMessage("true")
	m["stream_options"], err = encode(o)
	if err != nil {
		return nil, comfreyverdict.NotRun(comfreyverdict.ReasonBadRequest, err.Error())
	}
	return encode(m)
}

func isTrue(m json.RawMessage) bool {
	return string(bytes.TrimSpace(m)) == "true"
}

// isOneChoice reports whether the field "n", which may be absent, requests one
// choice.
func isOneChoice(m json.RawMessage) bool {
	s := string(bytes.TrimSpace(m))
	return s == "" || s == "null" || s == "1"
}

// encode returns the JSON of v without escaping the characters <, > and &.
func encode(v any) ([]byte, error) {
	var b bytes.Buffer
	e := json.NewEncoder(&b)
	e.SetEscapeHTML(false)
	err := e.Encode(v)
	return b.Bytes(), err
}
