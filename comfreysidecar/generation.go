package comfreysidecar

import (
	"context"
	"slices"
	"sync"
	"time"

	"comfreyridge.example/comfreyridge/comfreyproto"
	"comfreyridge.example/comfreyridge/comfreyquarantine"
	"comfreyridge.example/comfreyridge/comfreyrpc"
	"comfreyridge.example/comfreyridge/comfreystream"
	"comfreyridge.example/comfreyridge/comfreyverdict"
)

// generation is one accepted request, from its acceptance until its frames are
// dropped. It is safe for concurrent use.
type generation struct {
	id         comfreystream.GenerationID
	key        string
	request    *comfreyproto.StartRequest
	acceptedAt time.Time
	deadline   time.Time
	// fingerprint identifies all copies of the request.
	fingerprint comfreyquarantine.Fingerprint
	// changed signals the attached reader that frames were appended.
	changed chan struct{}

	mu      sync.Mutex
	replay  *comfreystream.ReplayWindow
	scratch []byte
	frame   comfreyproto.Frame
	running bool
	ended   bool
	endedAt time.Time
	tokens  int
	reader  *attachment
	// readerRequests are the ids of the requests that have read the generation,
	// the current one last.
	readerRequests []string
	lastContact    time.Time
	deliveredSeq   uint64
	cancel         context.CancelFunc
	cancelled      comfreyverdict.Reason
}

// attachment is one connection that reads the frames of a generation.
type attachment struct {
	request    string
	superseded chan struct{}
}

// maxReaderRequests bounds the reader requests that a generation keeps.
const maxReaderRequests = 64

func newGeneration(id comfreystream.GenerationID, r *comfreyproto.StartRequest, now time.Time, deadline time.Time) *generation {
	return &generation{
		id:          id,
		key:         attemptKey(r.RequestId, r.Attempt),
		request:     r,
		acceptedAt:  now,
		deadline:    deadline,
		fingerprint: comfreyquarantine.NewFingerprint(r.Customer, r.Service, r.Body),
		changed:     make(chan struct{}, 1),
		replay:      comfreystream.NewReplayWindow(comfreystream.ReplayWindowConfig{}),
		lastContact: now,
	}
}

// attach makes a connection of a request the only reader of g. It returns an
// error if a later request has read g since: the caller reads there now, and a
// gateway that was paused must not take the stream back.
func (g *generation) attach(request string) (*attachment, error) {
	a := &attachment{request: request, superseded: make(chan struct{})}
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.isSuperseded(request) {
		return nil, comfreyverdict.MayHaveRun(comfreyverdict.ReasonSuperseded, "the caller reads the answer by a later request")
	}
	if g.readerRequestLocked() != request {
		g.readerRequests = append(g.readerRequests, request)
		g.readerRequests = g.readerRequests[max(0, len(g.readerRequests)-maxReaderRequests):]
	}
	if g.reader != nil {
		close(g.reader.superseded)
	}
	g.reader = a
	return a, nil
}

// readerRequestLocked returns the id of the request that reads g, or read it
// last. The caller holds g.mu.
func (g *generation) readerRequestLocked() string {
	if len(g.readerRequests) == 0 {
		return ""
	}
	return g.readerRequests[len(g.readerRequests)-1]
}

// isSuperseded reports whether a later request reads g instead of the given
// one. The caller holds g.mu.
func (g *generation) isSuperseded(request string) bool {
	return g.readerRequestLocked() != request && slices.Contains(g.readerRequests, request)
}

// mayCancel reports whether a request may cancel g. A superseded one may not.
func (g *generation) mayCancel(request string) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return !g.isSuperseded(request)
}

// readerRequest returns the id of the request that reads g, or read it last.
func (g *generation) readerRequest() string {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.readerRequestLocked()
}

// detach records that the connection of a ended at now, after all frames up to
// seq were written to it.
func (g *generation) detach(a *attachment, seq uint64, now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.deliveredSeq = max(g.deliveredSeq, seq)
	if g.reader != a {
		return
	}
	g.reader = nil
	g.lastContact = now
}

// acknowledge records that the gateway has delivered all frames up to seq.
func (g *generation) acknowledge(seq uint64, now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.replay.Acknowledge(seq)
	g.lastContact = now
}

// orphanedSince returns the time of the last contact with a reader. It reports
// false while g has a reader or after its end.
func (g *generation) orphanedSince() (time.Time, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.lastContact, g.reader == nil && !g.ended
}

// appendTokens appends one chunk of the engine's output as a frame.
func (g *generation) appendTokens(data []byte, tokens int) {
	g.mu.Lock()
	if !g.ended {
		g.tokens += tokens
		g.frame.Kind = comfreyproto.FrameKind_FRAME_KIND_TOKENS
		g.frame.Data = data
		g.frame.Tokens = uint32(tokens)
		g.appendFrame(false)
		g.frame.Data = nil
	}
	g.mu.Unlock()
	g.notifyReader()
}

// end appends the last frame. It reports false if g has ended before.
func (g *generation) end(f *comfreyproto.Frame, now time.Time) bool {
	g.mu.Lock()
	if g.ended {
		g.mu.Unlock()
		return false
	}
	g.ended = true
	g.endedAt = now
	g.frame.Kind = f.Kind
	g.frame.Tokens = uint32(g.tokens)
	g.frame.Outcome = f.Outcome
	g.frame.Load = f.Load
	g.frame.Crashes = f.Crashes
	g.appendFrame(true)
	g.request.Body = nil
	g.mu.Unlock()
	g.notifyReader()
	return true
}

// appendFrame assigns the next sequence number to g.frame and adds it to the
// replay window. The caller holds g.mu.
func (g *generation) appendFrame(last bool) {
	g.frame.Incarnation = g.id.Incarnation
	g.frame.Counter = g.id.Counter
	g.frame.Seq = g.replay.Next()
	g.scratch = comfreyrpc.AppendFrame(g.scratch[:0], &g.frame)
	if last {
		_, _ = g.replay.End(g.scratch)
		return
	}
	_, _ = g.replay.Append(g.scratch)
}

func (g *generation) notifyReader() {
	select {
	case g.changed <- struct{}{}:
	default:
	}
}

// frames appends the retained frames from seq on to s. It returns an error if
// frames from seq on are no longer retained.
func (g *generation) frames(s []comfreystream.Frame, seq uint64) ([]comfreystream.Frame, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.replay.AppendFrom(s, seq)
}

// start marks g as running and stores the function that cancels its stream from
// the engine. It reports false if g has ended or was cancelled before.
func (g *generation) start(cancel context.CancelFunc) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.ended || g.cancelled != "" {
		return false
	}
	g.running = true
	g.cancel = cancel
	return true
}

// requestCancel cancels g for the given reason. It reports whether g was
// started; a queued generation has to be cancelled in the admission loop, too.
func (g *generation) requestCancel(r comfreyverdict.Reason) (running bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.ended || g.cancelled != "" {
		return g.running
	}
	g.cancelled = r
	if g.cancel != nil {
		g.cancel()
	}
	return g.running
}

// cancelReason returns why g was cancelled, empty if it was not.
func (g *generation) cancelReason() comfreyverdict.Reason {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.cancelled
}

// isEnded reports whether the last frame was appended.
func (g *generation) isEnded() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.ended
}

// isRunning reports whether the engine may be executing g.
func (g *generation) isRunning() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.running && !g.ended
}

// isExpired reports whether the frames of g can be dropped: it has ended, has
// no reader, and its end and its last contact are further back than the
// retention.
func (g *generation) isExpired(now time.Time, retention time.Duration) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.ended && g.reader == nil && now.Sub(g.endedAt) > retention && now.Sub(g.lastContact) > retention
}

// runningTokens returns the number of output tokens of a running generation,
// and 0 for any other.
func (g *generation) runningTokens() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.running || g.ended {
		return 0
	}
	return g.tokens
}

// tokenCount returns the number of output tokens so far.
func (g *generation) tokenCount() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.tokens
}
