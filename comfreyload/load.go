// Package comfreyload measures gateways on the loopback address: many callers
// stream generations at once, and the report tells how long they waited and how
// their requests ended.
package comfreyload

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"sync/atomic"
	"syscall"
	"time"

	"comfreyridge.example/comfreyridge/comfreycaller"
	"comfreyridge.example/comfreyridge/comfreyconnection"
	"comfreyridge.example/comfreyridge/comfreygroup"
)

// RunLoad measures as o says and writes the report to w.
func RunLoad(ctx context.Context, w io.Writer, o Options) error {
	r, err := Measure(ctx, o)
	if err != nil {
		return err
	}
	return r.Write(w)
}

// Measure sends requests until their count or the time is reached or ctx ends,
// waits for those that have begun, and reports. A request that the end of ctx
// cuts off is not counted. Measure refuses an address that is not on loopback.
func Measure(ctx context.Context, o Options) (Report, error) {
	err := o.check()
	if err != nil {
		return Report{}, err
	}
	l := newLoad(o)
	defer l.transport.CloseIdleConnections()
	g := comfreygroup.New(ctx)
	for i := range o.Callers {
		g.Go(fmt.Sprintf("caller %d", i), func(ctx context.Context) error {
			l.call(ctx, o.Gateways[i%len(o.Gateways)])
			return nil
		})
	}
	err = g.Wait()
	return l.collector.finish(time.Since(l.began)), err
}

// load is one run.
type load struct {
	options   Options
	began     time.Time
	transport *http.Transport
	caller    comfreycaller.Caller
	collector *collector
	sent      atomic.Int64
}

func newLoad(o Options) *load {
	d := net.Dialer{Control: onlyLoopback}
	t := &http.Transport{
		DialContext:         d.DialContext,
		MaxIdleConns:        maxCallers,
		MaxIdleConnsPerHost: maxCallers,
	}
	return &load{
		options:   o,
		began:     time.Now(),
		transport: t,
		caller:    comfreycaller.Caller{Key: o.Key, HTTP: &http.Client{Transport: comfreyconnection.NewTransport(t)}},
		collector: newCollector(),
	}
}

// onlyLoopback refuses every other address, such as one that a redirect names.
func onlyLoopback(_, address string, _ syscall.RawConn) error {
	a, err := netip.ParseAddrPort(address)
	if err != nil || !a.Addr().IsLoopback() {
		return fmt.Errorf("comfreyload: %s is not a loopback address", address)
	}
	return nil
}

// take returns the number of the next request. It reports false if the run
// begins no further one.
func (l *load) take(ctx context.Context) (int64, bool) {
	if ctx.Err() != nil || l.options.Time > 0 && time.Since(l.began) >= l.options.Time {
		return 0, false
	}
	n := l.sent.Add(1)
	return n, l.options.Requests == 0 || n <= int64(l.options.Requests)
}

// call sends one request after another. After a refusal it waits as long as
// the refusal tells.
func (l *load) call(ctx context.Context, gateway string) {
	returned := false
	for {
		n, ok := l.take(ctx)
		if !ok {
			return
		}
		r := l.stream(ctx, gateway, n)
		if ctx.Err() != nil && !r.Complete {
			return
		}
		l.collector.result(r, returned)
		returned = !r.Complete && r.Error.RetryAfter > 0
		if returned && !l.wait(ctx, r.Error.RetryAfter) {
			return
		}
	}
}

// stream sends request n and reads its answer.
func (l *load) stream(ctx context.Context, gateway string, n int64) comfreycaller.Result {
	o := l.options
	b := comfreycaller.Body(o.Service, fmt.Sprintf("%s %d", o.Prompt, n), o.MaxTokens)
	var last time.Time
	return l.caller.Stream(ctx, gateway, b, "", func(e comfreycaller.Event) {
		if comfreycaller.Text(e.Data) == "" {
			return
		}
		now := time.Now()
		if !last.IsZero() {
			l.collector.interToken(now.Sub(last))
		}
		last = now
	})
}

// wait lasts for d. It reports false if the run is over before.
func (l *load) wait(ctx context.Context, d time.Duration) bool {
	if left := l.options.Time - time.Since(l.began); l.options.Time > 0 && d > left {
		return false
	}
	return comfreygroup.Sleep(ctx, d)
}
