package comfreyengine

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"

	"comfreyridge.example/comfreyridge/comfreyverdict"
)

// maxReportBytes limits the size of a JSON response that a client reads.
const maxReportBytes = 4 << 20

// Load returns the engine's latest load report.
func (c *Client) Load(ctx context.Context) (Load, error) {
	return fetch[Load](ctx, c, call{transport: c.pooledTransport, method: http.MethodGet, path: "/v1/load"})
}

// State returns which model, adapter, version and role the engine has loaded.
func (c *Client) State(ctx context.Context) (State, error) {
	return fetch[State](ctx, c, call{transport: c.pooledTransport, method: http.MethodGet, path: "/v1/state"})
}

// CacheEvents returns the published cache events after a sequence number.
func (c *Client) CacheEvents(ctx context.Context, after uint64) ([]CacheEvent, error) {
	p := "/v1/cache-events?after=" + strconv.FormatUint(after, 10)
	e, err := fetch[CacheEvents](ctx, c, call{transport: c.pooledTransport, method: http.MethodGet, path: p})
	return e.Events, err
}

// SendCommand sends a command and returns the engine's state just after it
// accepted the command. Use State to learn when the command has completed. An
// engine that enforces fencing refuses an old fencing number with the reason
// stale-fencing-number.
func (c *Client) SendCommand(ctx context.Context, m Command) (State, error) {
	b, err := json.Marshal(m)
	if err != nil {
		return State{}, comfreyverdict.NotRun(comfreyverdict.ReasonBadRequest, err.Error())
	}
	h := http.Header{"Content-Type": {"application/json"}}
	return fetch[State](ctx, c, call{transport: c.pooledTransport, method: http.MethodPost, path: "/v1/orders", header: h, body: b})
}

// CheckHealth returns nil if the engine's health check succeeds.
func (c *Client) CheckHealth(ctx context.Context) error {
	res, cancel, err := c.do(ctx, call{transport: c.pooledTransport, method: http.MethodGet, path: "/healthz"})
	if err != nil {
		return err
	}
	defer cancel()
	return res.Body.Close()
}

// fetch sends a call whose response is one JSON value.
func fetch[T any](ctx context.Context, c *Client, l call) (T, error) {
	var v T
	res, cancel, err := c.do(ctx, l)
	if err != nil {
		return v, err
	}
	defer cancel()
	defer res.Body.Close()
	b, err := io.ReadAll(io.LimitReader(res.Body, maxReportBytes))
	if err != nil {
		return v, comfreyverdict.MayHaveRun(connectionErrorReason(ctx), err.Error())
	}
	err = json.Unmarshal(b, &v)
	if err != nil {
		return v, comfreyverdict.MayHaveRun(comfreyverdict.ReasonEngineFailed, err.Error())
	}
	return v, nil
}
