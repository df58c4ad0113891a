package comfreyengine

import (
	"bytes"
	"encoding/json"
	"errors"
	"io"
	"reflect"
	"strings"
	"testing"
	"testing/iotest"
)

// outcome is the result of reading a stream.
type outcome struct {
	tokens   int
	finishes int
	data     string
	complete bool
}

// readOutcome reads a stream to its end.
func readOutcome(r io.Reader) outcome {
	s := textStream("")
	s.connection.reader = newLineReader(r, 1<<14)
	var o outcome
	for {
		c, err := s.Next()
		if err != nil {
			o.tokens = s.Tokens()
			o.complete = errors.Is(err, io.EOF)
			return o
		}
		if c.Finish {
			o.finishes++
		}
		o.data += string(c.Data) + "\n"
	}
}

func FuzzStream(f *testing.F) {
	f.Add([]byte(tokenEvent + finishEvent + usageEvent + doneEvent))
	f.Add([]byte(": wait\r\n\r\n" + strings.ReplaceAll(tokenEvent+finishEvent+doneEvent, "\n", "\r\n")))
	f.Add([]byte("event: token\nid: 7\n" + tokenEvent + "data:\n\ndata"))
	f.Add([]byte("data: " + strings.Repeat("x", 1<<13) + "y\n\n" + doneEvent))
	f.Add([]byte("data: " + strings.Repeat("x", 1<<15) + "\n\n" + doneEvent))
	f.Add([]byte(`data: {"error":{"message":"out of memory"}}` + "\n\n"))
	f.Add([]byte("\x00\xff\n\r\ndata: [DONE]\n"))
	f.Fuzz(func(t *testing.T, b []byte) {
		whole := readOutcome(bytes.NewReader(b))
		bytewise := readOutcome(iotest.OneByteReader(bytes.NewReader(b)))
		if whole != bytewise {
			t.Errorf("read at once: %+v, byte by byte: %+v", whole, bytewise)
		}
		for line := range strings.Lines(whole.data) {
			if !bytes.Contains(b, []byte(strings.TrimSuffix(line, "\n"))) {
				t.Errorf("read %q, which was not sent", line)
			}
		}
		if whole.finishes > 1 {
			t.Errorf("got %d finish reasons, want at most 1", whole.finishes)
		}
		if whole.complete && (whole.finishes == 0 || !bytes.Contains(b, []byte("[DONE]"))) {
			t.Errorf("%+v counts as complete without a finish reason and [DONE]", whole)
		}
	})
}

func FuzzStreamingBody(f *testing.F) {
	f.Add([]byte(`{"prompt":"a<b","seed":12345678901234567890,"stream":false}`))
	f.Add([]byte(`{"stream_options":{"x":[1,{}]},"stream":true}`))
	f.Add([]byte(`{"stream_options":{"include_usage":true},"stream":true}`))
	f.Add([]byte(`[{"stream":true}]`))
	f.Fuzz(func(t *testing.T, b []byte) {
		out, err := streamingBody(b)
		if err != nil {
			return
		}
		before, after := fields(t, b), fields(t, out)
		if after["stream"] != true {
			t.Errorf("%s does not request a stream", out)
		}
		for _, k := range []string{"stream", "stream_options"} {
			delete(before, k)
			delete(after, k)
		}
		if !reflect.DeepEqual(before, after) {
			t.Errorf("fields of %s changed in %s", b, out)
		}
	})
}

// fields decodes a JSON object and keeps numbers in their written form.
func fields(t *testing.T, b []byte) map[string]any {
	t.Helper()
	d := json.NewDecoder(bytes.NewReader(b))
	d.UseNumber()
	var m map[string]any
	if err := d.Decode(&m); err != nil {
		t.Fatal(err)
	}
	return m
}
