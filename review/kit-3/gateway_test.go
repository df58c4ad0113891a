package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// program is the program that the deploy file builds.
const program = "target/comfreyridge"

// bounds are the bounds of a deployment that the settings name.
type bounds struct {
	contactMillis, drainMillis, graceSeconds int
	memoryMB, maxDescriptors                 int
	linkMbps                                 float64
}

// gateway is one machine with a gateway, which is started again after it has ended.
type gateway struct {
	name, ip, zone string
	// port is the first of the ports that the machine uses.
	port  int
	store string
	seeds []string
	bounds

	env  *environment
	path string

	mu      sync.Mutex
	command *exec.Cmd
	ended   chan struct{}
	// startedAt is when the present process was started.
	startedAt time.Time
}

// The addresses of the gateway.
func (g *gateway) front() string   { return fmt.Sprintf("%s:%d", g.ip, g.port) }
func (g *gateway) control() string { return fmt.Sprintf("%s:%d", g.ip, g.port+1) }
func (g *gateway) ready() string   { return fmt.Sprintf("%s:%d", g.ip, g.port+2) }

// writeSettings writes the settings file.
func (g *gateway) writeSettings() error {
	g.path = filepath.Join(g.env.folder, g.name+".json")
	b, err := json.Marshal(map[string]any{
		"nodeName": g.name, "role": "gateway", "machineClass": "edge", "serves": []string{"edge", "control_plane"}, "ip": g.ip, "zone": g.zone, "region": "r",
		"zones":  map[string]string{"a": "r", "b": "r", "c": "r"},
		"listen": map[string]string{"front": g.front(), "readinessAddr": g.ready(), "control": g.control()}, "portRange": []int{g.port + 3, g.port + 12},
		"seeds": g.seeds, "bootstrap": true, "heartbeatMs": 1200,
		"limits":    map[string]any{"cpuShare": 0.304, "cpuCores": 1, "memoryMb": g.memoryMB, "maxFds": g.maxDescriptors, "linkMbps": g.linkMbps, "diskMb": 0},
		"contracts": []string{"base", "drain", "config", "cost", "retry", "recover", "engine", "stream", "tenants", "platform"},
		"bounds": map[string]any{
			"contactMs": g.contactMillis, "drainMs": g.drainMillis, "graceS": g.graceSeconds, "lossSlackMs": 200, "configApplyMs": 3000,
			"retryBudgetRatio": 0.2, "retryWindowS": 10, "retrySlack": 52, "recoverS": 15, "passMs": 200,
		},
		"platform": map[string]any{"address": g.store, "form": "read", "readsPerS": 2000, "historyS": 20, "valueBytes": 1 << 20},
	})
	if err != nil {
		return err
	}
	return os.WriteFile(g.path, b, 0o600)
}

// start starts the process.
func (g *gateway) start() error {
	if err := g.writeSettings(); err != nil {
		return err
	}
	out, err := os.OpenFile(filepath.Join(g.env.folder, g.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = out.Close() }()
	c := exec.Command(program, "forward")
	c.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + g.env.folder, "COMFREYRIDGE_CONFIG=" + g.path}
	c.Stdout, c.Stderr = out, out
	if err := c.Start(); err != nil {
		return fmt.Errorf("kit-3: starting %s: %w", program, err)
	}
	ended := make(chan struct{})
	g.mu.Lock()
	g.command, g.ended, g.startedAt = c, ended, time.Now()
	g.mu.Unlock()
	g.env.record.printf("start gateway=%s pid=%d", g.name, c.Process.Pid)
	g.env.group.Go("gateway", func(context.Context) error {
		err := c.Wait()
		g.env.record.printf("end gateway=%s pid=%d state=%q", g.name, c.Process.Pid, fmt.Sprint(err))
		close(ended)
		return nil
	})
	g.env.group.Go("kill", func(ctx context.Context) error {
		select {
		case <-ctx.Done():
			_ = c.Process.Kill()
		case <-ended:
		}
		return nil
	})
	return nil
}

// signal sends a signal to the process, and returns a channel that is closed once it has
// ended.
func (g *gateway) signal(s syscall.Signal) <-chan struct{} {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.env.record.printf("signal gateway=%s signal=%q", g.name, s)
	_ = g.command.Process.Signal(s) // It may have ended.
	return g.ended
}

// memory returns the memory of the process in bytes, zero if it has ended.
func (g *gateway) memory() int64 {
	g.mu.Lock()
	pid := g.command.Process.Pid
	g.mu.Unlock()
	b, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(b)) {
		if v, ok := strings.CutPrefix(line, "VmRSS:"); ok {
			n, _ := strconv.ParseInt(strings.TrimSpace(strings.TrimSuffix(strings.TrimSpace(v), "kB")), 10, 64)
			return n << 10
		}
	}
	return 0
}

// isReady asks the gateway whether it is ready.
func (g *gateway) isReady() bool {
	c := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	a, err := c.Get("http://" + g.ready() + "/comfreyridge/ready")
	if err != nil {
		return false
	}
	defer func() { _ = a.Body.Close() }()
	return a.StatusCode == http.StatusOK
}

// awaitReady waits until the gateway is ready.
func (g *gateway) awaitReady(ctx context.Context) error {
	for range 200 {
		if g.isReady() {
			return nil
		}
		if !pause(ctx, 50*time.Millisecond) {
			break
		}
	}
	return errors.New("kit-3: " + g.name + " is not ready")
}

// startAll starts gateways and waits until all are ready.
func startAll(ctx context.Context, l []*gateway) error {
	for _, g := range l {
		if err := g.start(); err != nil {
			return err
		}
	}
	for _, g := range l {
		if err := g.awaitReady(ctx); err != nil {
			return err
		}
	}
	return nil
}
