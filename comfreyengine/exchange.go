package comfreyengine

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"comfreyridge.example/comfreyridge/comfreyverdict"
)

// maxDetailBytes limits how much of an error response's body is read.
const maxDetailBytes = 4096

// do sends a call and returns a response with a 2xx status. The caller must
// close the body and then call cancel.
func (c *Client) do(ctx context.Context, l call) (*http.Response, context.CancelFunc, error) {
	g := &writeGuard{}
	x, cancel := context.WithCancel(withWriteGuard(ctx, g))
	r, err := c.request(x, l)
	if err != nil {
		cancel()
		return nil, nil, comfreyverdict.NotRun(comfreyverdict.ReasonBadRequest, err.Error())
	}
	if l.timeout > 0 {
		t := time.AfterFunc(l.timeout, cancel)
		defer t.Stop()
	}
	res, err := l.transport.RoundTrip(r)
	if err != nil {
		cancel()
		return nil, nil, sendError(ctx, g, err)
	}
	if res.StatusCode/100 != 2 {
		defer cancel()
		defer res.Body.Close()
		return nil, nil, statusError(res)
	}
	return res, cancel, nil
}

// open sends a call whose response is a stream.
func (c *Client) open(ctx context.Context, l call) (*Stream, error) {
	res, cancel, err := c.do(ctx, l)
	if err != nil {
		return nil, err
	}
	id := res.Header.Get("X-Generation-Id")
	timeout := c.config.SilenceTimeout
	if id == "" {
		timeout = 0 // A generation without an id cannot be resumed.
	}
	s := &Stream{
		client:       c,
		ctx:          ctx,
		generationID: id,
		connection: connection{
			cancel:   cancel,
			body:     res.Body,
			reader:   newLineReader(res.Body, c.config.MaxLineBytes),
			watchdog: newWatchdog(timeout, cancel),
		},
	}
	n, err := strconv.Atoi(res.Header.Get("X-Prompt-Tokens"))
	if err == nil && n >= 0 {
		s.promptTokens = n
	}
	return s, nil
}

// sendError returns the verdict on a call that got no response.
func sendError(ctx context.Context, g *writeGuard, err error) comfreyverdict.Error {
	unsent := g.block()
	r := connectionErrorReason(ctx)
	if !unsent {
		return comfreyverdict.MayHaveRun(r, err.Error())
	}
	if r == comfreyverdict.ReasonConnectionLost {
		r = comfreyverdict.ReasonDialFailed
	}
	return comfreyverdict.NotRun(r, err.Error())
}

// connectionErrorReason returns why a call under ctx lost its connection.
func connectionErrorReason(ctx context.Context) comfreyverdict.Reason {
	switch {
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return comfreyverdict.ReasonDeadline
	case ctx.Err() != nil:
		return comfreyverdict.ReasonCancelled
	default:
		return comfreyverdict.ReasonConnectionLost
	}
}

// statusError returns the verdict on a response whose status is not 2xx. The
// protocol allows an engine to respond with 4xx or 503 only before it begins to
// execute a request.
func statusError(res *http.Response) comfreyverdict.Error {
	b, _ := io.ReadAll(io.LimitReader(res.Body, maxDetailBytes))
	e := comfreyverdict.Error{
		Verdict:    statusVerdict(res.StatusCode),
		Reason:     statusReason(res.StatusCode),
		RetryAfter: retryAfter(res.Header),
		Detail:     fmt.Sprintf("status %d, %d bytes", res.StatusCode, len(b)),
	}
	return e
}

func statusVerdict(status int) comfreyverdict.Verdict {
	if status/100 == 4 && status != http.StatusRequestTimeout || status == http.StatusServiceUnavailable {
		return comfreyverdict.VerdictNotRun
	}
	return comfreyverdict.VerdictMayHaveRun
}

func statusReason(status int) comfreyverdict.Reason {
	switch status {
	case http.StatusBadRequest, http.StatusUnprocessableEntity:
		return comfreyverdict.ReasonBadRequest
	case http.StatusRequestEntityTooLarge:
		return comfreyverdict.ReasonBodyTooLarge
	case http.StatusNotFound, http.StatusGone:
		return comfreyverdict.ReasonUnknownGeneration
	case http.StatusConflict:
		return comfreyverdict.ReasonStaleFencingNumber
	case http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return comfreyverdict.ReasonEngineRefused
	default:
		return comfreyverdict.ReasonEngineFailed
	}
}

// retryAfter returns the value of the Retry-After header in seconds, or zero if
// it is missing or invalid.
func retryAfter(h http.Header) time.Duration {
	n, err := strconv.Atoi(h.Get("Retry-After"))
	if err != nil || n < 0 {
		return 0
	}
	return time.Duration(n) * time.Second
}

// mayHaveRun returns err with its verdict replaced by may-have-run.
func mayHaveRun(err error) error {
	e := comfreyverdict.From(err)
	e.Verdict = comfreyverdict.VerdictMayHaveRun
	return e
}

func isUnknown(err error) bool {
	return comfreyverdict.From(err).Reason == comfreyverdict.ReasonUnknownGeneration
}

func escape(s string) string {
	return url.PathEscape(s)
}
