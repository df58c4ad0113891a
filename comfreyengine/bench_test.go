package comfreyengine

import (
	"testing"
)

// repeatReader returns the same text repeatedly, without end.
type repeatReader struct {
	text string
	at   int
}

// Read implements io.Reader.
func (r *repeatReader) Read(b []byte) (int, error) {
	n := copy(b, r.text[r.at:])
	r.at = (r.at + n) % len(r.text)
	return n, nil
}

func BenchmarkStreamNext(b *testing.B) {
	const event = `data: {"id":"30516ca8-1","object":"text_completion","created":0,"model":"template-1",` +
		`"choices":[{"index":0,"text":" w5a0ab022-20","logprobs":null,"finish_reason":null}]}` + "\n\n"
	s := textStream("")
	s.connection.reader = newLineReader(&repeatReader{text: event}, 1<<12)
	b.ReportAllocs()
	for b.Loop() {
		c, err := s.Next()
		if err != nil || c.Tokens != 1 {
			b.Fatal(c, err)
		}
	}
}

func BenchmarkStreamingBody(b *testing.B) {
	body := []byte(`{"model":"template-1","prompt":"a worktop of 2.4 m","max_tokens":200}`)
	b.ReportAllocs()
	for b.Loop() {
		_, err := streamingBody(body)
		if err != nil {
			b.Fatal(err)
		}
	}
}
