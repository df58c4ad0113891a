package main

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	// ordersPerSecond is how many orders a second each gateway gets.
	ordersPerSecond = 25
	// fillerRoutes make the configuration about 0.9 MB large.
	fillerRoutes = 2600
	// removalDelay is how long after the list was read the registration is removed.
	removalDelay = 20 * time.Millisecond
	// lingerTime is how long the replica serves after that.
	lingerTime = 20 * time.Second
)

// order is one order of a caller.
type order struct {
	id, gateway string
	sentAt      time.Time
	answer      answer
}

// restartCase starts a gateway again while a replica leaves.
type restartCase struct {
	*environment
	store    *store
	gateways []*gateway
	leaving  *replica
	runs     *runs

	mu     sync.Mutex
	orders []order
	// isRestarting is true while the gateway under test gets no orders, and isStarted
	// once its process was started again.
	isRestarting, isStarted bool
	removedAt, endedAt      time.Time
}

func runRestart(ctx context.Context, e *environment) (bool, error) {
	c := &restartCase{environment: e, store: newStore(), runs: &runs{}}
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
	pause(ctx, 4*time.Second)
	if err := c.leave(ctx); err != nil {
		return false, err
	}
	pause(ctx, lingerTime)
	c.record.printf("end replica=%s", c.leaving.id)
	c.endedAt = time.Now()
	c.leaving.end()
	pause(ctx, 5*time.Second)
	return c.judge(), nil
}

func (c *restartCase) setUp(ctx context.Context) error {
	ips := []string{"127.0.1.1", "127.0.1.2", "127.0.1.3", "127.0.2.1", "127.0.3.1", "127.0.3.2"}
	port, err := freePort(20, ips...)
	if err != nil {
		return err
	}
	c.putConfiguration()
	fast, slow := fmt.Sprintf("127.0.3.1:%d", port), fmt.Sprintf("127.0.3.2:%d", port)
	if err := c.store.serve(c.environment, fast, nil, nil); err != nil {
		return err
	}
	limit := func(k net.Conn) net.Conn { return &pacedConn{k, 10e6 / 8} }
	if err := c.store.serve(c.environment, slow, limit, c.observeList); err != nil {
		return err
	}
	for i := range 4 {
		r := &replica{id: fmt.Sprintf("i-%d", i), service: "desk", address: fmt.Sprintf("127.0.2.1:%d", port+i), zone: "a", slots: 6, work: 60 * time.Millisecond}
		if err := r.start(c.environment, c.store, c.runs); err != nil {
			return err
		}
		c.leaving = r
	}
	for i := range 3 {
		g := &gateway{
			name: fmt.Sprintf("edge-%d", i+1), ip: ips[i], zone: "a", port: port, store: fast, env: c.environment,
			bounds: bounds{contactMillis: 4000, drainMillis: 3000, graceSeconds: 8, memoryMB: 536, maxDescriptors: 4100, linkMbps: 200},
		}
		c.gateways = append(c.gateways, g)
		// Two of the seeds are down.
		g.seeds = []string{c.gateways[0].control(), fmt.Sprintf("127.0.1.8:%d", port+1), fmt.Sprintf("127.0.1.9:%d", port+1)}
	}
	c.gateways[0].store, c.gateways[0].linkMbps = slow, 10
	if err := startAll(ctx, c.gateways); err != nil {
		return err
	}
	pause(ctx, 4*time.Second)
	return nil
}

func (c *restartCase) putConfiguration() {
	route := func(name, prefix string) map[string]any {
		return map[string]any{"name": name, "host": "shop.example", "prefix": prefix, "routeType": "non_idempotent", "timeoutMs": 1500, "targetLatencyMs": 300, "priority": 1, "service": "desk", "maxAttempts": 1, "public": false, "note": strings.Repeat("n", 120)}
	}
	routes := []any{route("orders", "/order/")}
	for i := range fillerRoutes {
		routes = append(routes, route(fmt.Sprintf("route-%d", i), fmt.Sprintf("/other-%d/", i)))
	}
	c.store.put("op/config", map[string]any{
		"version": 7, "routes": routes,
		"services": []any{map[string]any{"name": "desk", "healthPath": "/health", "maxConnections": 250}},
		"limits":   map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"tenants":  []any{map[string]any{"name": "fitter", "apiKeys": []string{"key"}, "priority": 1}},
	})
}

// observeList removes the registration of the replica that leaves, once the gateway under
// test reads the list after its restart.
func (c *restartCase) observeList() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.isStarted && c.removedAt.IsZero() {
		c.isStarted = false
		c.group.Go("remove", func(ctx context.Context) error {
			if pause(ctx, removalDelay) {
				c.remove()
			}
			return nil
		})
	}
}

func (c *restartCase) remove() {
	c.mu.Lock()
	c.removedAt = time.Now()
	c.mu.Unlock()
	c.store.remove(c.leaving.key())
	c.record.printf("remove replica=%s", c.leaving.id)
}

// leave makes a replica leave, at the moment at which the gateway under test starts again
// if there is trouble.
func (c *restartCase) leave(ctx context.Context) error {
	if !c.hasTrouble {
		c.remove()
		return nil
	}
	g := c.gateways[0]
	c.setRestarting(true)
	select {
	case <-g.signal(syscall.SIGTERM):
	case <-ctx.Done():
	}
	c.mu.Lock()
	c.isStarted = true
	c.mu.Unlock()
	if err := g.start(); err != nil {
		return err
	}
	if err := g.awaitReady(ctx); err != nil {
		return err
	}
	c.record.printf("ready gateway=%s", g.name)
	c.setRestarting(false)
	return nil
}

func (c *restartCase) setRestarting(v bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.isRestarting = v
}

// order sends one order to a gateway.
func (c *restartCase) order(g *gateway) {
	c.mu.Lock()
	isAway := c.isRestarting && g == c.gateways[0]
	c.mu.Unlock()
	if isAway {
		return
	}
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

// judge counts the orders that reach the replica too late.
func (c *restartCase) judge() bool {
	at := map[string]execution{}
	for _, x := range c.runs.list() {
		if x.replica == c.leaving.id {
			at[x.id] = x
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	drained := c.removedAt.Add(3 * time.Second)
	if inTouch := c.gateways[0].startedAt.Add(4 * time.Second); inTouch.After(drained) {
		drained = inTouch
	}
	late, cut, failed := map[string]int{}, 0, 0
	for _, o := range c.orders {
		x, ok := at[o.id]
		if ok && o.sentAt.After(drained) {
			late[o.gateway]++
			if !x.isDone {
				cut++
			}
		}
		if o.answer.status != http.StatusOK {
			failed++
		}
	}
	c.record.summary("orders=%d not-answered-with-success=%d late-at-the-replica-that-left=%v cut-there=%d", len(c.orders), failed, late, cut)
	return len(late) > 0
}
