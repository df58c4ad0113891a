package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"syscall"
	"time"
)

const (
	// channelsLength is how long callers come, and lossAt when gateways are lost.
	channelsLength = 32 * time.Second
	lossAt         = 8 * time.Second
	// unaryTimeout is timeoutMs of the routes that do not stream, and unaryBudget how long
	// their callers wait. graceAfterTimeout is when the answer is due at the latest.
	unaryTimeout      = 400 * time.Millisecond
	unaryBudget       = time.Second
	graceAfterTimeout = 500 * time.Millisecond
	// settleTime is how long after the loss nothing is judged, contactMs of the sheet.
	settleTime = 4 * time.Second
	// minLate is how many requests have to be unanswered at their timeout.
	minLate = 20
)

// kind is a kind of request of the deployment's sheet.
type kind struct {
	perSecond float64
	request
}

// kinds are those of the sheet of Relais Siège, with their rates.
var kinds = []kind{
	{21.9, request{method: http.MethodPost, path: "/draft/1", budget: 39 * time.Second, headers: map[string]string{"X-Model": "m", "X-Token-Counts": "3079,748"}, body: []byte("x")}},
	{24.5, request{method: http.MethodPost, path: "/check/1", budget: 6 * time.Second, headers: map[string]string{"X-Model": "m", "X-Token-Counts": "2550,16"}, body: []byte("x")}},
	{88, request{method: http.MethodPost, path: "/order/1", budget: unaryBudget, body: []byte("seat")}},
	{35.2, request{method: http.MethodGet, path: "/lookup/1", budget: unaryBudget}},
}

// attempt is one request on a channel of its own.
type attempt struct {
	gateway          string
	openedAt, endsAt time.Time
	isStream         bool
	answer
}

// isAnsweredWithin reports whether the answer has begun within d.
func (a attempt) isAnsweredWithin(d time.Duration) bool {
	return a.status != 0 && a.begunAt.Sub(a.openedAt) <= d
}

// channelsCase lets callers come that keep their channels open.
type channelsCase struct {
	*environment
	gateways []*gateway
	rotation *rotation
	runs     *runs

	mu       sync.Mutex
	attempts []attempt
	// unready is when the gateway under test last said that it is not ready.
	unready time.Time
}

func runChannels(ctx context.Context, e *environment) (bool, error) {
	c := &channelsCase{environment: e, runs: &runs{}}
	if err := c.setUp(ctx); err != nil {
		return false, err
	}
	if e.hasTrouble {
		e.group.Go("trouble", func(ctx context.Context) error {
			if pause(ctx, lossAt) {
				for _, g := range c.gateways[1:] {
					g.signal(syscall.SIGKILL)
				}
			}
			return nil
		})
	}
	e.group.Go("ready", func(ctx context.Context) error {
		for pause(ctx, 200*time.Millisecond) {
			if !c.gateways[0].isReady() {
				c.mu.Lock()
				c.unready = time.Now()
				c.mu.Unlock()
			}
		}
		return nil
	})
	end := time.Now().Add(channelsLength)
	for _, k := range kinds {
		e.group.Go("callers", func(ctx context.Context) error {
			for time.Now().Before(end) && pause(ctx, time.Duration(rand.ExpFloat64()/k.perSecond*float64(time.Second))) {
				e.group.Go("caller", func(ctx context.Context) error {
					c.call(ctx, k)
					return nil
				})
			}
			return nil
		})
	}
	pause(ctx, channelsLength)
	return c.judge(), nil
}

func (c *channelsCase) setUp(ctx context.Context) error {
	ips := []string{"127.0.1.1", "127.0.1.2", "127.0.1.3", "127.0.2.1", "127.0.3.1"}
	port, err := freePort(20, ips...)
	if err != nil {
		return err
	}
	s := newStore()
	route := func(name, routeType, service string, timeout int) map[string]any {
		return map[string]any{"name": name, "host": "shop.example", "prefix": "/" + name + "/", "routeType": routeType, "timeoutMs": timeout, "targetLatencyMs": timeout / 4, "priority": 1, "service": service, "maxAttempts": 1, "gapAimMs": 180}
	}
	s.put("op/config", map[string]any{
		"version": 7,
		"routes":  []any{route("draft", "streaming", "llm", 39000), route("check", "streaming", "llm", 6000), route("order", "non_idempotent", "desk", 400), route("lookup", "idempotent", "desk", 400)},
		"services": []any{
			map[string]any{"name": "llm", "healthPath": "/health", "maxConnections": 342, "engine": map[string]any{"slots": 24, "kvCapacityTokens": 1 << 20, "tokenKvBytes": 163840, "linkMbps": 24000.0, "moves": false, "stride": 4}},
			map[string]any{"name": "desk", "healthPath": "/health", "maxConnections": 200},
		},
		"limits":  map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"tenants": []any{map[string]any{"name": "desk", "apiKeys": []string{"key"}, "priority": 1}},
	})
	address := fmt.Sprintf("127.0.3.1:%d", port)
	if err := s.serve(c.environment, address, nil, nil); err != nil {
		return err
	}
	for i := range 15 {
		r := &replica{id: fmt.Sprintf("i-%d", i), service: "llm", address: fmt.Sprintf("127.0.2.1:%d", port+i), zone: "a", slots: 24, events: 187}
		if i >= 12 {
			r.service, r.slots, r.events, r.work = "desk", 6, 0, 30*time.Millisecond
		}
		if err := r.start(c.environment, s, c.runs); err != nil {
			return err
		}
	}
	var seeds []string
	for i := range 3 {
		g := &gateway{
			name: fmt.Sprintf("edge-%d", i+1), ip: ips[i], zone: zones[i], port: port, store: address, env: c.environment,
			bounds: bounds{contactMillis: 4000, drainMillis: 3000, graceSeconds: 8, memoryMB: 536, maxDescriptors: 3075, linkMbps: 200},
		}
		c.gateways, seeds = append(c.gateways, g), append(seeds, g.control())
	}
	for _, g := range c.gateways {
		g.seeds = seeds
	}
	if err := startAll(ctx, c.gateways); err != nil {
		return err
	}
	c.rotation = newRotation(c.environment, c.gateways)
	pause(ctx, 2*time.Second)
	return nil
}

// call sends one request on a new channel, and keeps that open until the gateway closes it.
func (c *channelsCase) call(ctx context.Context, k kind) {
	g := c.rotation.pick(zones[rand.IntN(len(zones))])
	a := attempt{gateway: g.name, openedAt: time.Now(), isStream: k.budget != unaryBudget}
	id := newID("request")
	h, err := openChannel(g.front())
	if err == nil {
		defer func() { _ = h.Close() }()
		a.answer = h.do(id, k.request)
	} else {
		a.answer = answer{err: err}
	}
	a.endsAt = time.Now()
	c.record.printf("request id=%s gateway=%s path=%s took-ms=%d %s", id, g.name, k.path, a.endsAt.Sub(a.openedAt).Milliseconds(), a.answer)
	c.mu.Lock()
	c.attempts = append(c.attempts, a)
	c.mu.Unlock()
	if a.status == 0 || a.isClose {
		return
	}
	_ = h.SetDeadline(time.Now().Add(time.Minute))
	context.AfterFunc(ctx, func() { _ = h.Close() })
	_, _ = h.reader.ReadByte() // It ends when the gateway closes the channel.
}

// judge counts the requests that do not stream and are unanswered at the timeout of their
// route, and those of them that are half a second later.
func (c *channelsCase) judge() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	from := c.record.started.Add(lossAt + settleTime)
	requests, late, unanswered, never := 0, 0, 0, 0
	for _, a := range c.attempts {
		if a.gateway != c.gateways[0].name || a.isStream || a.openedAt.Before(from) {
			continue
		}
		requests++
		if a.isAnsweredWithin(unaryTimeout) {
			continue
		}
		late++
		if !a.isAnsweredWithin(unaryTimeout + graceAfterTimeout) {
			unanswered++
		}
		if a.status == 0 {
			never++
		}
	}
	c.record.summary("requests=%d unanswered-at-their-timeout=%d half-a-second-later=%d never-answered=%d last-unready-s=%.1f",
		requests, late, unanswered, never, max(c.unready.Sub(c.record.started), 0).Seconds())
	return late > minLate && 2*unanswered > late
}
