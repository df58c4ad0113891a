package comfreyconnection

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"
)

// minProgressBytes is the number of bytes of a body that have to arrive within
// Timeouts.Silence, so that a peer cannot hold a call with single bytes.
const minProgressBytes = 4 << 10

// Timeouts limits a call by its progress. How long a large response takes depends
// on the link, so a limit for the whole call would end each attempt on a slow
// link, and the next one would begin again with the first byte. Either both are
// set, or none, which means no limit.
type Timeouts struct {
	// Header is the time until the header of the response has arrived, including
	// that for opening a connection.
	Header time.Duration
	// Silence is the time within which the next part of the body has to arrive.
	Silence time.Duration
}

// start returns a context that is canceled once a call exceeds its timeouts. The
// caller must call stop.
func (t Timeouts) start(ctx context.Context) (context.Context, *progress) {
	if t == (Timeouts{}) {
		return ctx, &progress{}
	}
	ctx, cancel := context.WithCancelCause(ctx)
	p := &progress{timeouts: t, cancel: cancel}
	p.timer = time.AfterFunc(t.Header, func() { p.expire() })
	return ctx, p
}

// RoundTrip applies the timeouts to a call that is made by f, such as the Do method
// of an http.Client.
func (t Timeouts) RoundTrip(r *http.Request, f func(r *http.Request) (*http.Response, error)) (*http.Response, error) {
	ctx, p := t.start(r.Context())
	a, err := f(r.WithContext(ctx))
	if err != nil {
		err = causeOf(ctx, err)
		p.stop()
		return nil, err
	}
	p.receiveHeader()
	a.Body = p.body(ctx, a.Body)
	return a, nil
}

// progress is the progress of one call.
type progress struct {
	timeouts Timeouts
	cancel   context.CancelCauseFunc
	// timer is nil if there are no timeouts.
	timer *time.Timer

	mu          sync.Mutex
	received    int64
	lastReceive int64
	hasHeader   bool
}

// expire cancels the call.
func (p *progress) expire() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.hasHeader {
		p.cancel(fmt.Errorf("comfreyconnection: expected a response within %v, got none: %w", p.timeouts.Header, context.DeadlineExceeded))
		return
	}
	p.cancel(fmt.Errorf("comfreyconnection: expected more of a response within %v, got none after %d bytes: %w", p.timeouts.Silence, p.received, context.DeadlineExceeded))
}

// receiveHeader records that the header of the response has arrived.
func (p *progress) receiveHeader() {
	if p.timer == nil {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.hasHeader = true
	p.timer.Reset(p.timeouts.Silence)
}

// receive records that n bytes of the body have arrived.
func (p *progress) receive(n int) {
	if p.timer == nil {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.received += int64(n)
	if p.received-p.lastReceive >= minProgressBytes {
		p.lastReceive = p.received
		p.timer.Reset(p.timeouts.Silence)
	}
}

// stop ends the timeouts and releases their resources.
func (p *progress) stop() {
	if p.timer == nil {
		return
	}
	p.timer.Stop()
	p.cancel(context.Canceled)
}

// causeOf returns the reason why a context was canceled, or err if it was not.
func causeOf(ctx context.Context, err error) error {
	if c := context.Cause(ctx); c != nil {
		return c
	}
	return err
}

// progressBody is the body of a response whose call has timeouts.
type progressBody struct {
	io.ReadCloser
	progress *progress
	context  context.Context
}

// body returns the body of the response, which records what arrives and, when it
// is closed, ends the timeouts. The context is that of the call.
func (p *progress) body(ctx context.Context, b io.ReadCloser) io.ReadCloser {
	return &progressBody{ReadCloser: b, progress: p, context: ctx}
}

// Read implements io.Reader.
func (b *progressBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	b.progress.receive(n)
	if err != nil && !errors.Is(err, io.EOF) {
		err = causeOf(b.context, err)
	}
	return n, err
}

// Close implements io.Closer.
func (b *progressBody) Close() error {
	err := b.ReadCloser.Close()
	b.progress.stop()
	return err
}
