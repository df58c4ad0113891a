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
	// Data is the event's JSON. It is valid until the next call of Next.
	Data []byte
	// Tokens is the number of tokens that the event carries: 1, or 0 for an
	// event that carries the finish reason or only the usage.
	Tokens int
	// Finish reports whether the event carries the finish reason.
	Finish bool
}

// connection is the current connection of a stream. A reconnect replaces it.
type connection struct {
	cancel   context.CancelFunc
	body     io.Closer
	reader   *lineReader
	watchdog *watchdog
}

func (c connection) close() error {
	c.watchdog.stop()
	c.cancel()
	return c.body.Close()
}

// Stream is the streamed response to a request. Only one goroutine at a time
// may use it; another goroutine can end it by cancelling its context.
type Stream struct {
	client       *Client
	ctx          context.Context
	connection   connection
	generationID string
	promptTokens int
	tokens       int
	finished     bool
	skipsFinish  bool
	reconnects   int
	err          error
}

// GenerationID returns the engine's id of the generation, empty if the engine
// stated none.
func (s *Stream) GenerationID() string {
	return s.generationID
}

// PromptTokens returns the number of tokens that the engine counted in the
// prompt, 0 if it stated none.
func (s *Stream) PromptTokens() int {
	return s.promptTokens
}

// Tokens returns the position in the generation: the number of tokens read,
// including those before Resume.
func (s *Stream) Tokens() int {
	return s.tokens
}

// Reconnects returns how often the stream reconnected because no data arrived.
func (s *Stream) Reconnects() int {
	return s.reconnects
}

// Next returns the next event. It returns io.EOF only after the engine has sent
// a finish reason and the end of the stream. Any other end is a
// comfreyverdict.Error, with the verdict ran if a token was read.
func (s *Stream) Next() (Chunk, error) {
	if s.err != nil {
		return Chunk{}, s.err
	}
	for {
		b, err := s.nextData()
		if err != nil {
			return Chunk{}, s.closeWith(err)
		}
		if string(b) == "[DONE]" {
			return Chunk{}, s.closeWith(s.checkComplete())
		}
		c, err := s.parseChunk(b)
		if err != nil {
			return Chunk{}, s.closeWith(err)
		}
		if c.Data != nil {
			return c, nil
		}
	}
}

// nextData returns the value of the next data line. It reconnects whenever no
// data has arrived within the silence timeout.
func (s *Stream) nextData() ([]byte, error) {
	for {
		s.connection.watchdog.beginRead()
		b, err := s.readData()
		s.connection.watchdog.endRead()
		if err == nil {
			return b, nil
		}
		if !s.connection.watchdog.isExpired() || s.ctx.Err() != nil {
			return nil, s.connectionError(err)
		}
		err = s.reconnect()
		if err != nil {
			return nil, err
		}
	}
}

// readData returns the value of the next data line of the current connection.
// Other lines that are not blank, such as comments, reset the watchdog.
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
			s.connection.watchdog.reset()
		}
	}
}

// reconnect continues the generation on a new connection.
func (s *Stream) reconnect() error {
	_ = s.connection.close()
	n, err := s.client.Resume(s.ctx, s.generationID, s.tokens)
	if err != nil {
		e := comfreyverdict.From(err)
		e.Verdict = s.verdict()
		return e
	}
	s.connection = n.connection
	s.skipsFinish = s.finished
	s.reconnects++
	return nil
}

// Close closes the connection. The engine retains the generation for a short
// time unless it is cancelled.
func (s *Stream) Close() error {
	return s.connection.close()
}

// closeWith closes the stream and returns err, which all later calls of Next
// return too.
func (s *Stream) closeWith(err error) error {
	s.err = err
	_ = s.Close()
	return err
}

// checkComplete returns io.EOF if a finish reason was read, otherwise the
// verdict on a truncated stream.
func (s *Stream) checkComplete() error {
	if !s.finished {
		return s.engineError("the stream ended without a finish reason")
	}
	return io.EOF
}

// parseChunk classifies one event. It returns an empty chunk for a finish
// reason that the engine sends again after a reconnect.
func (s *Stream) parseChunk(b []byte) (Chunk, error) {
	if bytes.HasPrefix(b, errorPrefix) {
		return Chunk{}, s.engineError("the engine sent an error event")
	}
	f := parseFinishState(b)
	if s.skipsFinish && f == finishStated {
		s.skipsFinish = false
		return Chunk{}, nil
	}
	if s.finished && f != finishAbsent {
		return Chunk{}, s.engineError("the engine sent a token after the finish reason")
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

// connectionError returns the verdict on a stream whose connection failed.
func (s *Stream) connectionError(err error) error {
	if errors.Is(err, errLongLine) {
		return s.engineError(err.Error())
	}
	return comfreyverdict.Error{Verdict: s.verdict(), Reason: connectionErrorReason(s.ctx), Detail: err.Error()}
}

// engineError returns the verdict on a stream in which the engine failed or
// violated the protocol.
func (s *Stream) engineError(detail string) error {
	return comfreyverdict.Error{Verdict: s.verdict(), Reason: comfreyverdict.ReasonEngineFailed, Detail: detail}
}

func (s *Stream) verdict() comfreyverdict.Verdict {
	if s.tokens > 0 {
		return comfreyverdict.VerdictRan
	}
	return comfreyverdict.VerdictMayHaveRun
}
