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

// connection is what a stream reads from until it attaches anew.
type connection struct {
	cancel   context.CancelFunc
	body     io.Closer
	reader   *lineReader
	watchdog *watchdog
}

// close ends the reading.
func (c connection) close() error {
	c.watchdog.stop()
	c.cancel()
	return c.body.Close()
}

// Stream is the answer to one request. It is used by one goroutine at a time;
// the end of its context ends it from another.
type Stream struct {
	client       *Client
	ctx          context.Context
	connection   connection
	generation   string
	promptTokens int
	tokens       int
	finished     bool
	replayed     bool
	attachments  int
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

// Reconnects returns how often the stream attached anew because it was silent.
func (s *Stream) Reconnects() int {
	return s.attachments
}

// Next returns the next event. It returns io.EOF only after the engine has
// stated a finish reason and the end of the stream. Any other end is a
// comfreyverdict.Error, with the verdict ran if a token was read.
func (s *Stream) Next() (Chunk, error) {
	if s.err != nil {
		return Chunk{}, s.err
	}
	for {
		b, err := s.line()
		if err != nil {
			return Chunk{}, s.end(err)
		}
		if string(b) == "[DONE]" {
			return Chunk{}, s.end(s.complete())
		}
		c, err := s.chunk(b)
		if err != nil {
			return Chunk{}, s.end(err)
		}
		if c.Data != nil {
			return c, nil
		}
	}
}

// line returns the value of the next data line. It attaches anew each time that
// the stream has been silent for too long.
func (s *Stream) line() ([]byte, error) {
	for {
		s.connection.watchdog.enter()
		b, err := s.readData()
		s.connection.watchdog.leave()
		if err == nil {
			return b, nil
		}
		if !s.connection.watchdog.isSilent() || s.ctx.Err() != nil {
			return nil, s.lost(err)
		}
		err = s.attach()
		if err != nil {
			return nil, err
		}
	}
}

// readData returns the value of the next data line of the connection.
func (s *Stream) readData() ([]byte, error) {
	for {
		b, err := s.connection.reader.next()
		if err != nil {
			return nil, err
		}
		v, ok := data(b)
		if ok {
			return v, nil
		}
		if len(b) > 0 {
			s.connection.watchdog.feed()
		}
	}
}

// attach continues the generation on a new connection.
func (s *Stream) attach() error {
	_ = s.connection.close()
	n, err := s.client.Resume(s.ctx, s.generation, s.tokens)
	if err != nil {
		e := comfreyverdict.From(err)
		e.Verdict = s.verdict()
		return e
	}
	s.connection = n.connection
	s.replayed = s.finished
	s.attachments++
	return nil
}

// Close ends the reading. The engine keeps the generation for a short while
// unless it is cancelled.
func (s *Stream) Close() error {
	return s.connection.close()
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
	return io.EOF
}

// chunk classifies one event. It returns none for the event with the finish
// reason that comes again after a new attachment.
func (s *Stream) chunk(b []byte) (Chunk, error) {
	if bytes.HasPrefix(b, errorPrefix) {
		return Chunk{}, s.failed("the engine sent an error event")
	}
	f := finishOf(b)
	if s.replayed && f == finishStated {
		s.replayed = false
		return Chunk{}, nil
	}
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
