// Package main plays the platform's store, model replicas and requesters around
// gateways of comfreyridge that run as separate processes, for the scripts of review/.
package main

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"sync"
	"syscall"
	"testing"
	"time"
)

func must(err error) {
	if err != nil {
		fmt.Fprintln(os.Stderr, "standin:", err)
		stopGateways()
		os.Exit(2)
	}
}

// Record is the file in which a case notes what was sent, answered and run.
type Record struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

// Notef writes one line with the time since the start.
func (r *Record) Notef(format string, a ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f s  %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, a...))
}

// Gateway is a process of the project.
type Gateway struct {
	IP, Front, Ready, Control string
	file                      string // the settings
	cmd                       *exec.Cmd
	done                      chan struct{}
}

var gateways []*Gateway

func stopGateways() {
	for _, g := range gateways {
		_ = g.cmd.Process.Kill()
	}
	for _, g := range gateways {
		<-g.done
	}
}

// freeRange returns the first of 24 ports that are free at all of some addresses. It is
// below the range from which the kernel takes ports, so that nobody gets them meanwhile.
func freeRange(ips []string) int {
	for range 100 {
		base := 20000 + rand.IntN(300)*30
		if isFree(ips, base) {
			return base
		}
	}
	must(fmt.Errorf("no free ports"))
	return 0
}

func isFree(ips []string, base int) bool {
	for _, ip := range ips {
		for p := base; p < base+24; p++ {
			l, err := net.Listen("tcp", fmt.Sprintf("%s:%d", ip, p))
			if err != nil {
				return false
			}
			_ = l.Close()
		}
		u, err := net.ListenPacket("udp4", fmt.Sprintf("%s:%d", ip, base+1))
		if err != nil {
			return false
		}
		_ = u.Close()
	}
	return true
}

// StartGateways starts some processes of target/comfreyridge forward, the command of the
// deploy file, with the settings of a small deployment. Each has a loopback address of
// its own, since all machines use the same ports.
func StartGateways(w *World, n int, bounds map[string]any) []*Gateway {
	ip := func(i int) string { return fmt.Sprintf("127.0.0.%d", i+1) }
	var ips, seeds []string
	for i := range n {
		ips = append(ips, ip(i))
	}
	base := freeRange(ips)
	p := []int{base + 20, base + 21, base + 22}
	for i := range min(n, 3) {
		seeds = append(seeds, fmt.Sprintf("%s:%d", ip(i), p[2]))
	}
	var l []*Gateway
	for i := range n {
		l = append(l, startGateway(w, ip(i), p, base, seeds, bounds))
	}
	for _, g := range l {
		g.AwaitReady()
	}
	return l
}

func startGateway(w *World, ip string, p []int, base int, seeds []string, bounds map[string]any) *Gateway {
	g := &Gateway{
		IP: ip, Front: fmt.Sprintf("%s:%d", ip, p[0]), Ready: fmt.Sprintf("%s:%d", ip, p[1]),
		Control: fmt.Sprintf("%s:%d", ip, p[2]),
	}
	settings := map[string]any{
		"nodeName": "edge-" + ip, "role": "gateway", "machineClass": "edge", "serves": []string{"edge", "control_plane"},
		"ip": g.IP, "zone": "a", "region": "r", "zones": map[string]string{"a": "r"},
		"listen":    map[string]string{"front": g.Front, "readinessAddr": g.Ready, "control": g.Control},
		"portRange": []int{base, base + 15}, "seeds": seeds, "bootstrap": true, "lossCounts": false,
		"limits":  map[string]any{"cpuShare": 0.304, "cpuCores": 1, "memoryMb": 134, "maxFds": 4100, "linkMbps": 1000.0, "diskMb": 0},
		"dataDir": nil, "discovery": "platform", "entry": "vip", "heartbeatMs": 1200,
		"contracts":      []string{"base", "drain", "config", "cost", "retry", "recover", "engine", "stream", "tenants", "platform"},
		"faultTolerance": map[string]int{"machines": 2, "zones": 0, "regions": 0},
		"bounds":         bounds,
		"platform":       map[string]any{"address": w.Store.Address, "form": "read", "writesPerS": 400, "readsPerS": 2000, "historyS": 20, "valueBytes": 1048576, "ttlMinMs": 1000},
	}
	b, err := json.MarshalIndent(settings, "", "  ")
	must(err)
	file := filepath.Join(w.Dir, ip+".json")
	must(os.WriteFile(file, b, 0o644))
	g.file = file
	g.start(w)
	return g
}

// start starts the process. The machines of the sheets have one core, which GOMAXPROCS
// stands for.
func (g *Gateway) start(w *World) {
	log, err := os.OpenFile(filepath.Join(w.Dir, g.IP+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	must(err)
	g.cmd = exec.Command(w.Binary, "forward")
	g.cmd.Env = []string{"COMFREYRIDGE_CONFIG=" + g.file, "PATH=" + os.Getenv("PATH"), "HOME=" + w.Dir, "LANG=C.UTF-8", "GOMAXPROCS=1"}
	g.cmd.Stdout, g.cmd.Stderr = log, log
	must(g.cmd.Start())
	g.done = make(chan struct{})
	gateways = append(gateways, g)
	c, done := g.cmd, g.done
	go func() { _ = c.Wait(); close(done) }()
}

// Restart starts the process again, as the platform does after it has ended.
func (g *Gateway) Restart(w *World) *Gateway {
	x := &Gateway{IP: g.IP, Front: g.Front, Ready: g.Ready, Control: g.Control, file: g.file}
	x.start(w)
	x.AwaitReady()
	return x
}

// AwaitReady waits until the gateway says that it is ready.
func (g *Gateway) AwaitReady() {
	end := time.Now().Add(10 * time.Second)
	for time.Now().Before(end) {
		if g.IsReady() {
			return
		}
		time.Sleep(50 * time.Millisecond)
	}
	must(fmt.Errorf("the gateway did not become ready"))
}

// standardBounds are those of the settings example in DEPLOY.md.
func standardBounds() map[string]any {
	return map[string]any{
		"seedLagS": 3, "reuseAfterS": 2, "contactMs": 3000, "ackMs": 4000, "catchUpS": 4, "drainMs": 2000, "graceS": 8,
		"lossSlackMs": 200, "configApplyMs": 2000, "rollbackSlackMs": 250, "outerMs": 5000, "strictRevocation": false,
		"revokeMs": 5000, "retryBudgetRatio": 0.2, "retryWindowS": 10, "retrySlack": 52, "recoverS": 12, "passMs": 120, "reuseWindowS": 4.8,
	}
}

// TestMain plays the case that the first argument names, against a program and with a
// record that the others name. The stand-ins are test code: review/build.sh builds them
// with go test -c.
func TestMain(*testing.M) {
	if len(os.Args) != 4 {
		fmt.Fprintln(os.Stderr, "usage: standin CASE BINARY RECORD")
		os.Exit(2)
	}
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, os.Interrupt, syscall.SIGTERM)
	go func() {
		<-interrupted
		stopGateways()
		os.Exit(2)
	}()
	f, err := os.Create(os.Args[3])
	must(err)
	record := &Record{file: f, start: time.Now()}
	dir, err := os.MkdirTemp("", "comfrey-review-")
	must(err)
	w := &World{Record: record, Dir: dir, Binary: os.Args[2], HasTrouble: os.Getenv("TROUBLE") != "0"}
	cases := map[string]func(w *World) []string{"kv-move": runKVMove, "resume": runResume, "unframed": runUnframed, "late-end": runLateEnd}
	run, ok := cases[os.Args[1]]
	if !ok {
		must(fmt.Errorf("unknown case %q", os.Args[1]))
	}
	broken := run(w)
	stopGateways()
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(dir)
	} else {
		fmt.Println("kept", dir)
	}
	for _, b := range broken {
		record.Notef("BROKEN %s", b)
		fmt.Println("broken:", b)
	}
	if len(broken) > 0 {
		os.Exit(1)
	}
	record.Notef("the rule held")
	fmt.Println("the rule held")
}
