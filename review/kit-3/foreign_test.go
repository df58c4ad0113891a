package main

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	// foreignID is the id in the key of the entry of another writer.
	foreignID = "i-other"
	// foreignAt is when that entry is written, and foreignLength how long callers send
	// orders after it.
	foreignAt     = 3 * time.Second
	foreignLength = 10 * time.Second
)

// foreignCase adds an entry of another writer to the store.
type foreignCase struct {
	*environment
	store    *store
	gateways []*gateway
	runs     *runs

	mu     sync.Mutex
	orders []order
	// received are the ids of the requests that the program of the other writer got.
	received map[string]bool
}

func runForeign(ctx context.Context, e *environment) (bool, error) {
	c := &foreignCase{environment: e, store: newStore(), runs: &runs{}, received: map[string]bool{}}
	if err := c.setUp(ctx); err != nil {
		return false, err
	}
	for _, g := range c.gateways {
		e.group.Go("caller", func(ctx context.Context) error {
			for pause(ctx, time.Second/ordersPerSecond) {
				e.group.Go("order", func(context.Context) error {
					c.order(g)
					return nil
				})
			}
			return nil
		})
	}
	pause(ctx, foreignAt+foreignLength)
	return c.judge(), nil
}

func (c *foreignCase) setUp(ctx context.Context) error {
	ips := []string{"127.0.1.1", "127.0.1.2", "127.0.2.1", "127.0.3.1", "127.0.4.1"}
	port, err := freePort(20, ips...)
	if err != nil {
		return err
	}
	c.store.put("op/config", map[string]any{
		"version":  7,
		"routes":   []any{map[string]any{"name": "orders", "host": "shop.example", "prefix": "/order/", "routeType": "non_idempotent", "timeoutMs": 1500, "targetLatencyMs": 300, "priority": 1, "service": "desk", "maxAttempts": 1, "public": false}},
		"services": []any{map[string]any{"name": "desk", "healthPath": "/health", "maxConnections": 96}},
		"limits":   map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"tenants":  []any{map[string]any{"name": "fitter", "apiKeys": []string{"key"}, "priority": 1}},
	})
	address := fmt.Sprintf("127.0.3.1:%d", port)
	if err := c.store.serve(c.environment, address, nil, nil); err != nil {
		return err
	}
	for i := range 3 {
		r := &replica{id: fmt.Sprintf("i-%d", i), service: "desk", address: fmt.Sprintf("127.0.2.1:%d", port+i), zone: zones[i], slots: 6, work: 60 * time.Millisecond}
		if err := r.start(c.environment, c.store, c.runs); err != nil {
			return err
		}
	}
	var seeds []string
	for i := range 2 {
		g := &gateway{
			name: fmt.Sprintf("edge-%d", i+1), ip: ips[i], zone: zones[i], port: port, store: address, env: c.environment,
			bounds: bounds{contactMillis: 3000, drainMillis: 2000, graceSeconds: 8, memoryMB: 134, maxDescriptors: 4100, linkMbps: 1000},
		}
		c.gateways, seeds = append(c.gateways, g), append(seeds, g.control())
	}
	for _, g := range c.gateways {
		g.seeds = seeds
	}
	if err := startAll(ctx, c.gateways); err != nil {
		return err
	}
	pause(ctx, 4*time.Second)
	return c.addEntry(fmt.Sprintf("127.0.4.1:%d", port))
}

// addEntry starts the program of the other writer, and makes it write its entry later,
// without most of the fields of a replica.
func (c *foreignCase) addEntry(address string) error {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	serveUntilEnd(c.environment, &http.Server{Handler: http.HandlerFunc(c.serveForeign), ReadHeaderTimeout: time.Minute}, l)
	if !c.hasTrouble {
		return nil
	}
	c.group.Go("other writer", func(ctx context.Context) error {
		if pause(ctx, foreignAt) {
			c.store.put("servers/"+foreignID, map[string]any{"service": "desk", "address": address, "zone": "a", "state": "ready"})
			c.record.printf("entry id=%s address=%s", foreignID, address)
		}
		return nil
	})
	return nil
}

// serveForeign answers a request as a program does that knows nothing of the platform.
func (c *foreignCase) serveForeign(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("X-Request-Id")
	_, _ = io.Copy(io.Discard, r.Body)
	c.record.printf("received-by-other-program id=%s method=%s path=%s", id, r.Method, r.URL.Path)
	c.mu.Lock()
	c.received[id] = true
	c.mu.Unlock()
	_, _ = io.WriteString(w, "done\n")
}

func (c *foreignCase) order(g *gateway) {
	k, err := openChannel(g.front())
	if err != nil {
		return
	}
	defer func() { _ = k.Close() }()
	o := order{id: newID("order"), gateway: g.name, sentAt: time.Now()}
	o.answer = k.do(o.id, request{method: http.MethodPost, path: "/order/1", budget: 1500 * time.Millisecond, body: []byte("slab")})
	c.record.printf("order id=%s gateway=%s %s", o.id, o.gateway, o.answer)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.orders = append(c.orders, o)
}

// judge counts the orders that the program of the other writer got.
func (c *foreignCase) judge() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	failed, foreign := 0, 0
	for _, o := range c.orders {
		if o.answer.status != http.StatusOK {
			failed++
		}
		if c.received[o.id] {
			foreign++
		}
	}
	c.record.summary("orders=%d not-answered-with-success=%d received-by-other-program=%d", len(c.orders), failed, foreign)
	return foreign > 0
}
