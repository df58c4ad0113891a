package comfreycaller

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"

	"comfreyridge.example/comfreyridge/comfreyverdict"
)

// OrderResult is how a call about an order went.
type OrderResult struct {
	// State is how far the order has come, as the gateway states it.
	State string
	// Status is the HTTP status.
	Status int
	// Body is the application's answer, if there is one.
	Body []byte
	// Error is the typed refusal; its verdict is VerdictRan on success.
	Error comfreyverdict.Error
}

// Mint creates an order that has not begun and returns its ticket.
func (c Caller) Mint(ctx context.Context, gateway, service string) (string, error) {
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, gateway+"/v1/services/"+service+"/orders", http.NoBody)
	if err != nil {
		return "", fmt.Errorf("comfreycaller: %w", err)
	}
	resp, err := c.Do(r)
	if err != nil {
		return "", fmt.Errorf("comfreycaller: %w", err)
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusCreated {
		return "", RefusalOf(resp)
	}
	var m struct {
		Ticket string `json:"ticket"`
	}
	if err := json.NewDecoder(resp.Body).Decode(&m); err != nil {
		return "", fmt.Errorf("comfreycaller: %w", err)
	}
	return m.Ticket, nil
}

// Order sends a method to a ticket: PUT runs the order at most once, GET tells
// its state and DELETE voids it.
func (c Caller) Order(ctx context.Context, method, gateway, service, ticket string, body []byte) OrderResult {
	r, err := http.NewRequestWithContext(ctx, method, gateway+"/v1/services/"+service+"/orders/"+ticket, bytes.NewReader(body))
	if err != nil {
		return OrderResult{Error: comfreyverdict.NotRun(comfreyverdict.ReasonBadRequest, err.Error())}
	}
	resp, err := c.Do(r)
	if err != nil {
		return OrderResult{Error: comfreyverdict.MayHaveRun(comfreyverdict.ReasonConnectionLost, err.Error())}
	}
	defer func() { _ = resp.Body.Close() }()
	o := OrderResult{State: resp.Header.Get("Comfrey-Order-State"), Status: resp.StatusCode}
	if resp.StatusCode >= http.StatusBadRequest && resp.Header.Get("Comfrey-Reason") != "" {
		o.Error = RefusalOf(resp)
		return o
	}
	v, _ := comfreyverdict.ParseVerdict(resp.Header.Get("Comfrey-Verdict"))
	o.Error = comfreyverdict.Error{Verdict: v, Reason: comfreyverdict.ReasonAccepted}
	o.Body, err = io.ReadAll(io.LimitReader(resp.Body, maxLineBytes))
	if err != nil {
		o.Error = comfreyverdict.MayHaveRun(comfreyverdict.ReasonConnectionLost, err.Error())
	}
	return o
}
