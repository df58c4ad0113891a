package comfreyengine

import (
	"bytes"
	"context"
	"errors"
	"io"

	"comfreyridge.example/comfreyridge/comfreyverdict"
)

// Chunk is one event of a stream.
type Chunk struct {
	// Data is the event's JSON, valid until the next call of Next.
	Data []byte
	// Tokens is how many tokens the event carries: 1, or 0 for the event that
	// states the finish reason and for one that only states usage.
	Tokens int
	// Finish reports whether the event states the finish reason.
	Finish bool
}

// Stream is the answer to one request. It is used by one goroutine at a time;
// Close may be called from any.
type Stream struct {
	ctx          context.Context
	cancel       context.CancelFunc
	body         io.Closer
	reader       *lineReader
	generation   string
	promptTokens int
	tokens       int
	finished     bool
	err          error
}

// GenerationID returns the engine's id of the generation, empty if the engine
// stated none.
func (s *Stream) GenerationID() string {
	return s.generation
}

// PromptTokens returns how many tokens the engine counted in the prompt, 0 if
// it stated none.
func (s *Stream) PromptTokens() int {
	return s.promptTokens
}

// Tokens returns how many tokens have been read, those before a resumption
// included.
func (s *Stream) Tokens() int {
	return s.tokens
}

// Next returns the next event. It returns io.EOF only after the engine has
// stated a finish reason and the end of the stream. Any other end is a
// comfreyverdict.Error, with the verdict ran if a token was read.
func (s *Stream) Next() (Chunk, error) {
	if s.err != nil {
		return Chunk{}, s.err
	}
	for {
		b, err := s.reader.next()
		if err != nil {
			return Chunk{}, s.end(s.lost(err))
		}
		b, ok := data(b)
		if !ok {
			continue
		}
		if string(b) == "[DONE]" {
			return Chunk{}, s.end(s.complete())
		}
		c, err := s.chunk(b)
		if err != nil {
			return Chunk{}, s.end(err)
		}
		return c, nil
	}
}

// Close ends the reading. The engine keeps the generation for a short while
// unless it is cancelled.
func (s *Stream) Close() error {
	s.cancel()
	return s.body.Close()
}

// end closes the stream, and returns err now and for every later call.
func (s *Stream) end(err error) error {
	s.err = err
	_ = s.Close()
	return err
}

// complete returns io.EOF if the stream may end here.
func (s *Stream) complete() error {
	if !s.finished {
		return s.failed("the stream ended without a finish reason")
	}
	s.drain()
	return io.EOF
}

// drain reads the end of the body, so that the connection can be used again.
func (s *Stream) drain() {
	for {
		_, err := s.reader.next()
		if err != nil {
			return
		}
	}
}

// chunk classifies one event.
func (s *Stream) chunk(b []byte) (Chunk, error) {
	if bytes.HasPrefix(b, errorPrefix) {
		return Chunk{}, s.failed("the engine sent an error event")
	}
	f := finishOf(b)
	if s.finished && f != finishAbsent {
		return Chunk{}, s.failed("the engine sent a token after the finish reason")
	}
	switch f {
	case finishNull:
		s.tokens++
		return Chunk{Data: b, Tokens: 1}, nil
	case finishStated:
		s.finished = true
		return Chunk{Data: b, Finish: true}, nil
	default:
		return Chunk{Data: b}, nil
	}
}

// lost returns the verdict on a stream whose connection failed.
func (s *Stream) lost(err error) error {
	if errors.Is(err, errLongLine) {
		return s.failed(err.Error())
	}
	return comfreyverdict.Error{Verdict: s.verdict(), Reason: lossReason(s.ctx), Detail: err.Error()}
}

// failed returns the verdict on a stream that the engine broke.
func (s *Stream) failed(detail string) error {
	return comfreyverdict.Error{Verdict: s.verdict(), Reason: comfreyverdict.ReasonEngineFailed, Detail: detail}
}

func (s *Stream) verdict() comfreyverdict.Verdict {
	if s.tokens > 0 {
		return comfreyverdict.VerdictRan
	}
	return comfreyverdict.VerdictMayHaveRun
}
