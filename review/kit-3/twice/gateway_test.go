package twice

import (
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// gateway is a process of the project's gateway, started as the deploy file says.
type gateway struct {
	env      *env
	name     string
	settings map[string]any
	front    string
	ready    string
	file     string
	log      *os.File

	mu      sync.Mutex
	command *exec.Cmd
	ended   chan struct{}
}

// runLine returns the run line of the deploy file, split at spaces.
func (e *env) runLine() ([]string, error) {
	b, err := os.ReadFile(filepath.Join(e.repository, "deploy", "system.toml"))
	if err != nil {
		return nil, err
	}
	for _, line := range strings.Split(string(b), "\n") {
		k, v, ok := strings.Cut(line, "=")
		if ok && strings.TrimSpace(k) == "run" {
			return strings.Fields(strings.Trim(strings.TrimSpace(v), `"`)), nil
		}
	}
	return nil, fmt.Errorf("deploy/system.toml has no run line")
}

// newGateway returns a gateway whose settings are those of the example on the users'
// pages, with loopback addresses. It is not started.
func (e *env) newGateway(store string) (*gateway, error) {
	p, err := freePorts(4)
	if err != nil {
		return nil, err
	}
	address := func(i int) string { return fmt.Sprintf("127.0.0.1:%d", p[i]) }
	g := &gateway{env: e, name: fmt.Sprintf("edge-%d", len(e.gateways)+1), front: address(0), ready: address(1)}
	g.settings = map[string]any{
		"nodeName": g.name, "role": "gateway", "machineClass": "edge", "serves": []string{"edge", "control_plane"},
		"ip": "127.0.0.1", "zone": "bxl-a", "region": "be-central", "zones": map[string]string{"bxl-a": "be-central"},
		"listen":    map[string]any{"front": g.front, "readinessAddr": g.ready, "control": address(2)},
		"portRange": []int{p[3], p[3] + 15}, "seeds": []string{address(2)}, "bootstrap": true, "lossCounts": false,
		"limits":  map[string]any{"cpuShare": 0.304, "cpuCores": 1, "memoryMb": 134, "maxFds": 4100, "linkMbps": 1000.0, "diskMb": 0},
		"dataDir": nil, "discovery": "platform", "entry": "vip", "heartbeatMs": 1200,
		"contracts":      []string{"base", "drain", "config", "cost", "retry", "recover", "engine", "stream", "tenants", "platform"},
		"faultTolerance": map[string]any{"machines": 1, "zones": 0, "regions": 0},
		"bounds": map[string]any{
			"seedLagS": 3, "reuseAfterS": 2, "contactMs": 3000, "ackMs": 4000, "catchUpS": 4, "drainMs": 2000, "graceS": 8,
			"lossSlackMs": 200, "configApplyMs": 2000, "rollbackSlackMs": 250, "outerMs": 5000, "strictRevocation": false,
			"revokeMs": 5000, "retryBudgetRatio": 0.2, "retryWindowS": 10, "retrySlack": 52, "recoverS": 12, "passMs": 120, "reuseWindowS": 4.8,
		},
		"platform": map[string]any{
			"address": store, "form": "read", "writesPerS": 400, "readsPerS": 2000, "historyS": 20, "valueBytes": 1 << 20, "ttlMinMs": 1000,
		},
	}
	g.file = e.path(g.name + ".json")
	g.log, err = os.Create(e.path(g.name + ".log"))
	if err != nil {
		return nil, err
	}
	e.gateways = append(e.gateways, g)
	return g, g.writeSettings()
}

// writeSettings writes the settings file.
func (g *gateway) writeSettings() error {
	b, err := json.Marshal(g.settings)
	if err != nil {
		return err
	}
	if err := os.WriteFile(g.file+".new", b, 0o600); err != nil {
		return err
	}
	return os.Rename(g.file+".new", g.file)
}

// start starts the process.
func (g *gateway) start() error {
	line, err := g.env.runLine()
	if err != nil {
		return err
	}
	c := exec.Command(filepath.Join(g.env.repository, line[0]), line[1:]...)
	c.Dir = g.env.repository
	c.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=C", "COMFREYRIDGE_CONFIG=" + g.file}
	c.Stdout, c.Stderr = g.log, g.log
	if err := c.Start(); err != nil {
		return err
	}
	ended := make(chan struct{})
	g.mu.Lock()
	g.command, g.ended = c, ended
	g.mu.Unlock()
	g.env.logf(g.name, "started")
	go func() {
		err := c.Wait()
		g.env.logf(g.name, "ended: %v", err)
		close(ended)
	}()
	return nil
}

// signal sends a signal to the process.
func (g *gateway) signal(s syscall.Signal) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.command != nil && !g.hasEnded() {
		g.env.logf(g.name, "signal: %v", s)
		_ = g.command.Process.Signal(s)
	}
}

func (g *gateway) hasEnded() bool {
	select {
	case <-g.ended:
		return true
	default:
		return false
	}
}

// kill ends the process and waits for its end.
func (g *gateway) kill() {
	g.mu.Lock()
	c, ended := g.command, g.ended
	g.mu.Unlock()
	if c == nil {
		return
	}
	_ = c.Process.Kill()
	<-ended
}

// isReady asks as the load balancer does.
func (g *gateway) isReady() bool {
	c := http.Client{Timeout: time.Second}
	r, err := c.Get("http://" + g.ready + "/comfreyridge/ready")
	if err != nil {
		return false
	}
	_ = r.Body.Close()
	return r.StatusCode == http.StatusOK
}

// awaitReady waits until the gateway is ready.
func (g *gateway) awaitReady(limit time.Duration) error {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if g.isReady() {
			g.env.logf(g.name, "ready")
			return nil
		}
	}
	return fmt.Errorf("%s is not ready after %v", g.name, limit)
}

// residentBytes returns the memory of the process, in bytes.
func (g *gateway) residentBytes() int64 {
	b, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", g.command.Process.Pid))
	if err != nil {
		return 0
	}
	var size, resident int64
	_, _ = fmt.Sscan(string(b), &size, &resident)
	return resident * int64(os.Getpagesize())
}
