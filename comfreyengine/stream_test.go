package comfreyengine

import (
	"context"
	"errors"
	"io"
	"strconv"
	"strings"
	"testing"

	"comfreyridge.example/comfreyridge/comfreyverdict"
)

// textStream returns a stream that reads from text.
func textStream(text string) *Stream {
	return &Stream{
		ctx: context.Background(),
		connection: connection{
			cancel:   func() {},
			body:     io.NopCloser(nil),
			reader:   newLineReader(strings.NewReader(text), 1<<16),
			watchdog: newWatchdog(defaultSilenceTimeout, func() {}),
		},
	}
}

// readToEnd reads a stream to its end.
func readToEnd(s *Stream) error {
	for {
		_, err := s.Next()
		if err != nil {
			return err
		}
	}
}

const (
	tokenEvent  = `data: {"choices":[{"text":"a","finish_reason":null}]}` + "\n\n"
	finishEvent = `data: {"choices":[{"text":"","finish_reason":"stop"}],"usage":{}}` + "\n\n"
	usageEvent  = `data: {"choices":[],"usage":{"total_tokens":9}}` + "\n\n"
	doneEvent   = "data: [DONE]\n\n"
)

func TestEndOfStream(t *testing.T) {
	may, ran := comfreyverdict.VerdictMayHaveRun, comfreyverdict.VerdictRan
	for name, c := range map[string]struct {
		text     string
		complete bool
		verdict  comfreyverdict.Verdict
		tokens   int
	}{
		"whole":                  {tokenEvent + finishEvent + doneEvent, true, may, 1},
		"usage after the finish": {tokenEvent + finishEvent + usageEvent + doneEvent, true, may, 1},
		"comments and CRLF":      {": wait\r\n\r\n" + strings.ReplaceAll(tokenEvent, "\n", "\r\n") + finishEvent + doneEvent, true, may, 1},
		"nothing":                {"", false, may, 0},
		"no end":                 {tokenEvent + finishEvent, false, ran, 1},
		"no finish":              {tokenEvent + doneEvent, false, ran, 1},
		"truncated end":          {tokenEvent + finishEvent + "data: [DONE]", false, ran, 1},
		"error event":            {tokenEvent + `data: {"error":{"message":"x"}}` + "\n\n" + finishEvent + doneEvent, false, ran, 1},
		"token after the finish": {tokenEvent + finishEvent + tokenEvent + doneEvent, false, ran, 1},
		"two finish reasons":     {tokenEvent + finishEvent + finishEvent + doneEvent, false, ran, 1},
		"key in a text":          {`data: {"choices":[{"text":"\"finish_reason\":\"stop\"","finish_reason":null}]}` + "\n\n" + finishEvent + doneEvent, true, may, 1},
	} {
		s := textStream(c.text)
		err := readToEnd(s)
		if errors.Is(err, io.EOF) != c.complete || s.Tokens() != c.tokens {
			t.Errorf("%s: got %v after %d tokens", name, err, s.Tokens())
		}
		if !c.complete && comfreyverdict.From(err).Verdict != c.verdict {
			t.Errorf("%s: %v", name, err)
		}
		if again := readToEnd(s); !errors.Is(again, err) {
			t.Errorf("%s: the next call returned %v", name, again)
		}
	}
}

func TestLongLinesAreReadCompletely(t *testing.T) {
	for n := range 3 * bufferBytes {
		if m := n % bufferBytes; m > 20 && m < bufferBytes-20 {
			continue
		}
		want := ""
		for i := 0; len(want) < n; i++ {
			want += strconv.Itoa(i)
		}
		c, err := textStream("data: {" + want + "}\n\n").Next()
		if err != nil || string(c.Data) != "{"+want+"}" {
			t.Errorf("line of %d bytes: got %d bytes, %v", len(want), len(c.Data), err)
		}
	}
}

func TestLineAboveLimitIsEngineError(t *testing.T) {
	s := textStream("data: " + strings.Repeat("x", 1<<17) + "\n\n" + tokenEvent)
	e := comfreyverdict.From(readToEnd(s))
	if e.Reason != comfreyverdict.ReasonEngineFailed || s.Tokens() != 0 {
		t.Errorf("%v after %d tokens", e, s.Tokens())
	}
}

func TestStreamingBody(t *testing.T) {
	for in, want := range map[string]string{
		`{"stream":true,"stream_options":{"include_usage":true},"x":1}`: `{"stream":true,"stream_options":{"include_usage":true},"x":1}`,
		`{"prompt":"a<b","seed":12345678901234567890}`:                  `{"prompt":"a<b","seed":12345678901234567890,"stream":true,"stream_options":{"include_usage":true}}`,
		`{"stream":false,"stream_options":{"x":[1]}}`:                   `{"stream":true,"stream_options":{"include_usage":true,"x":[1]}}`,
		`{"stream_options":null}`:                                       `{"stream":true,"stream_options":{"include_usage":true}}`,
	} {
		b, err := streamingBody([]byte(in))
		if got := strings.TrimSpace(string(b)); err != nil || got != want {
			t.Errorf("%s: got %s, %v; want %s", in, got, err, want)
		}
	}
	for _, in := range []string{``, `[]`, `null`, `{"stream_options":3}`, `{`, `{"n":2}`} {
		_, err := streamingBody([]byte(in))
		if err == nil || comfreyverdict.From(err).Verdict != comfreyverdict.VerdictNotRun {
			t.Errorf("%q: got %v, want the verdict not-run", in, err)
		}
	}
}
