package main

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	// stormLength and stormInterval are those of the changes in quick succession.
	stormLength   = 4 * time.Second
	stormInterval = 330 * time.Millisecond
	// stormFillerRoutes make the configuration about 0.9 MB large.
	stormFillerRoutes = 2600
	// stormApply and stormDrain are the bounds configApplyMs and drainMs.
	stormApply = 3 * time.Second
	stormDrain = 3 * time.Second
	// stormLinger is how long the replica serves after its registration was removed.
	stormLinger = 7 * time.Second
	// droppedKey is the key that the last version does not have any more.
	droppedKey = "dropped"
)

// stormOrder is an order of the storm's callers.
type stormOrder struct {
	order
	key string
}

// stormCase sends configurations in quick succession.
type stormCase struct {
	*environment
	store    *store
	gateways []*gateway
	leaving  *replica
	runs     *runs

	mu     sync.Mutex
	orders []stormOrder
	// ackedAt is when the store had the last version, and removedAt when it had the
	// removal of a replica.
	ackedAt, removedAt time.Time
}

func runStorm(ctx context.Context, e *environment) (bool, error) {
	c := &stormCase{environment: e, store: newStore(), runs: &runs{}}
	if err := c.setUp(ctx); err != nil {
		return false, err
	}
	for _, g := range c.gateways {
		for _, key := range []string{"key", droppedKey} {
			e.group.Go("caller", func(ctx context.Context) error {
				for pause(ctx, time.Second/ordersPerSecond) {
					e.group.Go("order", func(context.Context) error {
						c.order(g, key)
						return nil
					})
				}
				return nil
			})
		}
	}
	pause(ctx, 3*time.Second)
	c.change(ctx)
	pause(ctx, stormLinger)
	c.record.printf("end replica=%s", c.leaving.id)
	c.leaving.end()
	pause(ctx, 15*time.Second)
	return c.judge(), nil
}

func (c *stormCase) setUp(ctx context.Context) error {
	ips := []string{"127.0.1.1", "127.0.1.2", "127.0.1.3", "127.0.2.1", "127.0.3.1"}
	port, err := freePort(20, ips...)
	if err != nil {
		return err
	}
	c.putConfiguration(7, true)
	address := fmt.Sprintf("127.0.3.1:%d", port)
	limit := func(k net.Conn) net.Conn { return &pacedConn{k, 10e6 / 8} }
	if err := c.store.serve(c.environment, address, limit, nil); err != nil {
		return err
	}
	for i := range 4 {
		r := &replica{id: fmt.Sprintf("i-%d", i), service: "desk", address: fmt.Sprintf("127.0.2.1:%d", port+i), zone: "a", slots: 6, work: 60 * time.Millisecond}
		if err := r.start(c.environment, c.store, c.runs); err != nil {
			return err
		}
		c.leaving = r
	}
	var seeds []string
	for i := range 3 {
		g := &gateway{
			name: fmt.Sprintf("edge-%d", i+1), ip: ips[i], zone: zones[i], port: port, store: address, env: c.environment,
			bounds: bounds{contactMillis: 4000, drainMillis: 3000, graceSeconds: 8, memoryMB: 536, maxDescriptors: 4100, linkMbps: 10},
		}
		c.gateways, seeds = append(c.gateways, g), append(seeds, g.control())
	}
	for _, g := range c.gateways {
		g.seeds = seeds
	}
	if err := startAll(ctx, c.gateways); err != nil {
		return err
	}
	pause(ctx, 6*time.Second)
	return nil
}

func (c *stormCase) putConfiguration(version int, hasDroppedKey bool) {
	route := func(name, prefix string) map[string]any {
		return map[string]any{"name": name, "host": "shop.example", "prefix": prefix, "routeType": "non_idempotent", "timeoutMs": 1500 + version, "targetLatencyMs": 300, "priority": 1, "service": "desk", "maxAttempts": 1, "public": false, "note": strings.Repeat("n", 120)}
	}
	routes := []any{route("orders", "/order/")}
	for i := range stormFillerRoutes {
		routes = append(routes, route(fmt.Sprintf("route-%d", i), fmt.Sprintf("/other-%d/", i)))
	}
	keys := []string{"key"}
	if hasDroppedKey {
		keys = append(keys, droppedKey)
	}
	c.store.put("op/config", map[string]any{
		"version": version, "routes": routes,
		"services": []any{map[string]any{"name": "desk", "healthPath": "/health", "maxConnections": 250}},
		"limits":   map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"tenants":  []any{map[string]any{"name": "fitter", "apiKeys": keys, "priority": 1}},
	})
	c.record.printf("configuration version=%d dropped-key=%t", version, hasDroppedKey)
}

// change sends configurations in quick succession, or only the last one. A replica leaves
// afterwards.
func (c *stormCase) change(ctx context.Context) {
	version := 10
	if c.hasTrouble {
		for end := time.Now().Add(stormLength - stormInterval); time.Now().Before(end) && pause(ctx, stormInterval); version += 3 {
			c.putConfiguration(version, true)
		}
	}
	pause(ctx, stormInterval)
	c.putConfiguration(version, false)
	c.mu.Lock()
	c.ackedAt = time.Now()
	c.mu.Unlock()
	pause(ctx, time.Second)
	c.store.remove(c.leaving.key())
	c.record.printf("remove replica=%s", c.leaving.id)
	c.mu.Lock()
	c.removedAt = time.Now()
	c.mu.Unlock()
}

func (c *stormCase) order(g *gateway, key string) {
	k, err := openChannel(g.front())
	if err != nil {
		return
	}
	defer func() { _ = k.Close() }()
	o := stormOrder{order{id: newID("order"), gateway: g.name, sentAt: time.Now()}, key}
	o.answer = k.do(o.id, request{method: http.MethodPost, path: "/order/1", key: key, budget: 1500 * time.Millisecond, body: []byte("slab")})
	c.record.printf("order id=%s gateway=%s key=%s %s", o.id, o.gateway, o.key, o.answer)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.orders = append(c.orders, o)
}

// judge counts the orders with the dropped key that run too late, and those that reach the
// replica that left.
func (c *stormCase) judge() bool {
	at := map[string]execution{}
	for _, x := range c.runs.list() {
		at[x.id] = x
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	dropped, late, cut := 0, 0, 0
	var last time.Duration
	for _, o := range c.orders {
		x, ok := at[o.id]
		if !ok {
			continue
		}
		if o.key == droppedKey && o.sentAt.After(c.ackedAt.Add(stormApply)) {
			dropped++
			last = max(last, o.sentAt.Sub(c.ackedAt))
		}
		if x.replica == c.leaving.id && o.sentAt.After(c.removedAt.Add(stormDrain)) {
			late++
			if !x.isDone {
				cut++
			}
		}
	}
	c.record.summary("orders=%d run-with-the-dropped-key=%d last-after-ms=%d late-at-the-replica-that-left=%d cut-there=%d", len(c.orders), dropped, last.Milliseconds(), late, cut)
	return dropped > 0 || late > 0
}
