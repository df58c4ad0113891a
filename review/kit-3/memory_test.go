package main

import (
	"bytes"
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"syscall"
	"time"
)

const (
	// draftsPerSecond is the rate of drafts in the sheet of Gravure Pierre.
	draftsPerSecond = 4.63
	memoryLength    = 30 * time.Second
	// troubleAt is when gateways are lost, and downTime for how long.
	troubleAt = 10 * time.Second
	downTime  = 15 * time.Second
	// restartDelay is how long after its end a gateway is started again.
	restartDelay = 500 * time.Millisecond
	// draftBytes is the size of the body of a draft; maxBodyBytes is 4,194,304.
	draftBytes = 3_500_000
	// maxLost is how many requests a machine may lose on kept channels.
	maxLost = 3
)

var zones = []string{"a", "b", "c"}

// draft is one draft that a caller asked for on a kept channel.
type draft struct {
	id, gateway string
	sentAt      time.Time
	answer      answer
}

// memoryCase lets callers ask for drafts, whose requests have large bodies.
type memoryCase struct {
	*environment
	gateways []*gateway
	rotation *rotation
	runs     *runs
	body     []byte

	mu     sync.Mutex
	drafts []draft
	// highest is the most memory that each gateway has used, and overs counts how often
	// one has used too much.
	highest map[string]int64
	overs   int
}

func runMemory(ctx context.Context, e *environment) (bool, error) {
	m := &memoryCase{environment: e, runs: &runs{}, body: bytes.Repeat([]byte("prompt "), draftBytes/7), highest: map[string]int64{}}
	if err := m.setUp(ctx); err != nil {
		return false, err
	}
	end := time.Now().Add(memoryLength)
	for _, g := range m.gateways {
		e.group.Go("platform", func(ctx context.Context) error { return m.limitMemory(ctx, g) })
	}
	if e.hasTrouble {
		e.group.Go("trouble", m.loseGateways)
	}
	for time.Now().Before(end) && pause(ctx, time.Duration(rand.ExpFloat64()/draftsPerSecond*float64(time.Second))) {
		e.group.Go("caller", func(context.Context) error {
			m.askForDraft()
			return nil
		})
	}
	pause(ctx, 10*time.Second)
	return m.judge(), nil
}

func (m *memoryCase) setUp(ctx context.Context) error {
	ips := []string{"127.0.1.1", "127.0.1.2", "127.0.1.3", "127.0.1.4", "127.0.2.1", "127.0.3.1"}
	port, err := freePort(20, ips...)
	if err != nil {
		return err
	}
	s := newStore()
	s.put("op/config", map[string]any{
		"version": 7,
		"routes": []any{
			map[string]any{"name": "drafts", "host": "shop.example", "prefix": "/draft/", "routeType": "streaming", "timeoutMs": 39000, "targetLatencyMs": 1800, "service": "llm", "maxAttempts": 1, "gapAimMs": 180, "stickySessions": true},
			map[string]any{"name": "checks", "host": "shop.example", "prefix": "/check/", "routeType": "streaming", "timeoutMs": 6000, "targetLatencyMs": 1500, "priority": 1, "service": "llm", "maxAttempts": 1, "gapAimMs": 180, "stickySessions": true},
		},
		"services": []any{map[string]any{"name": "llm", "healthPath": "/health", "maxConnections": 272, "engine": map[string]any{"slots": 24, "kvCapacityTokens": 1 << 20, "tokenKvBytes": 163840, "linkMbps": 24000.0, "moves": false, "stride": 4}}},
		"limits":   map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"tenants":  []any{map[string]any{"name": "fitter", "apiKeys": []string{"key"}, "priority": 1}},
	})
	address := fmt.Sprintf("127.0.3.1:%d", port)
	if err := s.serve(m.environment, address, nil, nil); err != nil {
		return err
	}
	for i := range 12 {
		r := &replica{id: fmt.Sprintf("i-%d", i), service: "llm", address: fmt.Sprintf("127.0.2.1:%d", port+i), zone: "a", slots: 24, events: 233}
		if err := r.start(m.environment, s, m.runs); err != nil {
			return err
		}
	}
	seeds := []string{}
	for i := range 4 {
		g := &gateway{
			name: fmt.Sprintf("edge-%d", i+1), ip: ips[i], zone: []string{"a", "b", "c", "c"}[i], port: port, store: address, env: m.environment,
			bounds: bounds{contactMillis: 3000, drainMillis: 2000, graceSeconds: 8, memoryMB: 134, maxDescriptors: 4100, linkMbps: 1000},
		}
		m.gateways = append(m.gateways, g)
		if len(seeds) < 3 {
			seeds = append(seeds, g.control())
		}
	}
	for _, g := range m.gateways {
		g.seeds = seeds
	}
	if err := startAll(ctx, m.gateways); err != nil {
		return err
	}
	m.rotation = newRotation(m.environment, m.gateways)
	pause(ctx, 2*time.Second)
	return nil
}

// limitMemory kills a gateway that exceeds its memory, as the platform does.
func (m *memoryCase) limitMemory(ctx context.Context, g *gateway) error {
	for pause(ctx, 10*time.Millisecond) {
		used := g.memory()
		m.mu.Lock()
		m.highest[g.name] = max(m.highest[g.name], used)
		m.mu.Unlock()
		if used <= int64(g.memoryMB)<<20 {
			continue
		}
		m.record.summary("over gateway=%s memory-bytes=%d limit-bytes=%d", g.name, used, int64(g.memoryMB)<<20)
		m.mu.Lock()
		m.overs++
		m.mu.Unlock()
		<-g.signal(syscall.SIGKILL)
		if !pause(ctx, restartDelay) {
			return nil
		}
		if err := g.start(); err != nil {
			return err
		}
	}
	return nil
}

// loseGateways kills all gateways but one, which are started again later.
func (m *memoryCase) loseGateways(ctx context.Context) error {
	if !pause(ctx, troubleAt) {
		return nil
	}
	for _, g := range m.gateways[1:] {
		g.signal(syscall.SIGKILL)
	}
	if !pause(ctx, downTime) {
		return nil
	}
	for _, g := range m.gateways[1:] {
		if err := g.start(); err != nil {
			return err
		}
	}
	return nil
}

// askForDraft asks for a check and, on the same channel, for a draft.
func (m *memoryCase) askForDraft() {
	for range 2 {
		g := m.rotation.pick(zones[rand.IntN(len(zones))])
		c, err := openChannel(g.front())
		if err != nil {
			continue
		}
		a := c.do(newID("check"), request{method: http.MethodPost, path: "/check/1", budget: 6 * time.Second, headers: map[string]string{"X-Model": "m", "X-Token-Counts": "2550,16"}, body: []byte("x")})
		if a.status == http.StatusOK && a.isWhole {
			d := draft{id: newID("draft"), gateway: g.name, sentAt: time.Now()}
			d.answer = c.do(d.id, request{method: http.MethodPost, path: "/draft/1", budget: 39 * time.Second, headers: map[string]string{"X-Model": "m", "X-Token-Counts": "3079,932"}, body: m.body})
			m.record.printf("draft id=%s gateway=%s bytes=%d %s", d.id, d.gateway, len(m.body), d.answer)
			m.mu.Lock()
			m.drafts = append(m.drafts, d)
			m.mu.Unlock()
			_ = c.Close()
			return
		}
		_ = c.Close()
	}
}

// judge counts the drafts that a gateway without impairment has passed on and whose channel it has
// closed without a complete answer.
func (m *memoryCase) judge() bool {
	began := map[string]bool{}
	for _, x := range m.runs.list() {
		began[x.id] = true
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	lost, whole := 0, 0
	for _, d := range m.drafts {
		if d.answer.isWhole && d.answer.status == http.StatusOK {
			whole++
		} else if d.gateway == m.gateways[0].name || !m.hasTrouble {
			if began[d.id] {
				lost++
			}
		}
	}
	for n, b := range m.highest {
		m.record.summary("highest gateway=%s memory-bytes=%d", n, b)
	}
	m.record.summary("drafts=%d whole=%d lost-at-sound-gateway=%d over=%d", len(m.drafts), whole, lost, m.overs)
	return lost > maxLost && m.overs > 0
}
