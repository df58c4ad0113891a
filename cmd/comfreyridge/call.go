package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"time"

	"comfreyridge.example/comfreyridge/comfreycaller"
	"comfreyridge.example/comfreyridge/comfreyverdict"
)

// callCommand sends one request to a gateway, as a caller would.
type callCommand struct {
	Gateway  string           `arg:"--gateway,env:COMFREY_GATEWAY" default:"http://127.0.0.1:8080" help:"base URL of a gateway"`
	Key      string           `arg:"--key,env:COMFREY_CALLER_KEY" help:"the customer's bearer key"`
	Generate *generateCommand `arg:"subcommand:generate" help:"stream one generation"`
	Order    *orderCommand    `arg:"subcommand:order" help:"place one order with a ticket"`
}

type generateCommand struct {
	Service   string `arg:"positional,required"`
	Prompt    string `arg:"positional,required"`
	MaxTokens int    `arg:"--max-tokens" help:"bound on the answer; none if 0"`
}

type orderCommand struct {
	Service string `arg:"positional,required"`
	Body    string `arg:"positional,required"`
}

func (c callCommand) run(ctx context.Context, w io.Writer) error {
	a := comfreycaller.Caller{Key: c.Key}
	switch {
	case c.Generate != nil:
		return c.generate(ctx, a, w)
	case c.Order != nil:
		return c.order(ctx, a, w)
	default:
		return fmt.Errorf("comfreyridge call: one of generate, order is needed")
	}
}

func (c callCommand) generate(ctx context.Context, a comfreycaller.Caller, w io.Writer) error {
	body := comfreycaller.Body(c.Generate.Service, c.Generate.Prompt, c.Generate.MaxTokens)
	r := a.Stream(ctx, c.Gateway, body, "", func(e comfreycaller.Event) {
		fmt.Fprint(w, comfreycaller.Text(e.Data))
	})
	fmt.Fprintln(w)
	if !r.Complete {
		return fmt.Errorf("comfreyridge call: request %s: %w", r.RequestID, r.Error)
	}
	fmt.Fprintf(w, "request=%s tokens=%d first-token=%s stall=%s verdict=%s\n", r.RequestID, r.Tokens,
		r.FirstToken.Round(time.Millisecond), r.Stall.Round(time.Millisecond), comfreyverdict.VerdictRan)
	return nil
}

func (c callCommand) order(ctx context.Context, a comfreycaller.Caller, w io.Writer) error {
	t, err := a.Mint(ctx, c.Gateway, c.Order.Service)
	if err != nil {
		return fmt.Errorf("comfreyridge call: mint: %w", err)
	}
	o := a.Order(ctx, http.MethodPut, c.Gateway, c.Order.Service, t, []byte(c.Order.Body))
	if o.Status >= http.StatusBadRequest {
		return fmt.Errorf("comfreyridge call: ticket %s: status %d: %w", t, o.Status, o.Error)
	}
	fmt.Fprintf(w, "ticket=%s state=%s verdict=%s answer=%s\n", t, o.State, o.Error.Verdict, o.Body)
	return nil
}
