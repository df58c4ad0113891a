package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"comfreyridge.example/comfreyridge/comfreycaller"
)

const (
	processKey = "proof-of-processes-shared-key"
	callerKey  = "demo-key"
	// generationService and orderService are the services of proofFolder.
	generationService = "quotes"
	orderService      = "parts"
)

// proofFolder is the configuration of the fleets under test.
const proofFolder = `data-centres:
  north:
    region: demo
services:
  quotes:
    kind: generation
    preset: stall-time
    capacity-tokens: 20000
    max-tokens: 1024
    deadline: 1m
    drain-limit: 30s
  parts:
    kind: plain
    idempotent: false
    deadline: 30s
    drain-limit: 30s
customers:
  demo:
    key-hashes: [c48a01f49fd0f2cc404bc3cbbc80e91457a3d41bb429a695243de4c61794155c]
    concurrent-streams: 64
`

// upstreamsOfKind is how many engines, and how many applications, a fleet has.
const upstreamsOfKind = 2

// processFleet is a fleet of separate processes: the platform, two engines, two
// applications, a sidecar beside each of these, and two gateways.
type processFleet struct {
	t            testing.TB
	folder       string
	hosts        string
	platform     *node
	engines      []*node
	applications []*node
	// sidecars holds those of the engines and then those of the applications.
	sidecars []*node
	gateways []*node
	states   map[string]string
	// internal maps a host to its address for other processes.
	internal map[string]string
}

// fleetOptions are arguments added to the command lines of a role.
type fleetOptions struct {
	stepTime  string
	orderTime string
	sidecar   []string
	gateway   []string
}

// fleetSlots bounds the fleets that run at the same time.
var fleetSlots = make(chan struct{}, 3)

// startProcesses starts a fleet that ends with the test, and waits until it
// serves.
func startProcesses(t testing.TB, o fleetOptions) *processFleet {
	t.Helper()
	if o.stepTime == "" {
		o.stepTime = "5ms"
	}
	if o.orderTime == "" {
		o.orderTime = "20ms"
	}
	fleetSlots <- struct{}{}
	t.Cleanup(func() { <-fleetSlots })
	d := t.TempDir()
	f := &processFleet{t: t, folder: filepath.Join(d, "folder"), hosts: filepath.Join(d, "hosts.json"), states: map[string]string{}, internal: map[string]string{}}
	if err := os.Mkdir(f.folder, 0o755); err != nil {
		t.Fatal(err)
	}
	f.publish("00-base.yaml", proofFolder)
	f.layOut(freeAddresses(t, 1+2*upstreamsOfKind+4*upstreamsOfKind+3*2), o)
	f.writeHosts()
	for _, n := range f.all() {
		t.Cleanup(func() { n.end(t) })
		n.start(t)
	}
	f.waitReady()
	return f
}

// layOut gives every node its addresses and command line.
func (f *processFleet) layOut(addresses []string, o fleetOptions) {
	next := func() string {
		a := addresses[0]
		addresses = addresses[1:]
		return a
	}
	a := next()
	f.platform = f.node("platform", a, "fake", "platform", "--listen", a, "--folder", f.folder, "--hosts", f.hosts, "--lag", "1s")
	for i := range upstreamsOfKind {
		a := next()
		f.engines = append(f.engines, f.node(fmt.Sprintf("engine-%d", i), a, "fake", "engine", "--listen", a, "--step-time", o.stepTime, "--load-lag", "100ms"))
	}
	for i := range upstreamsOfKind {
		a := next()
		f.applications = append(f.applications, f.node(fmt.Sprintf("application-%d", i), a, "fake", "application", "--listen", a, "--order-time", o.orderTime))
	}
	for i, u := range append(append([]*node{}, f.engines...), f.applications...) {
		service := generationService
		if i >= upstreamsOfKind {
			service = orderService
		}
		host, a, admin := fmt.Sprintf("upstream-%d", i), next(), next()
		n := f.node(host, a, append([]string{"sidecar", "--host", host, "--data-centre", "north", "--service", service, "--upstream", u.url, "--listen", a, "--admin-listen", admin}, o.sidecar...)...)
		n.admin = "http://" + admin
		f.internal[host] = a
		f.sidecars = append(f.sidecars, n)
	}
	for i := range 2 {
		host, a, peer, admin := fmt.Sprintf("entry-%d", i), next(), next(), next()
		n := f.node(host, a, append([]string{"gateway", "--host", host, "--data-centre", "north", "--listen", a, "--peer-listen", peer, "--admin-listen", admin, "--drain-delay", "1s"}, o.gateway...)...)
		n.admin = "http://" + admin
		f.internal[host] = peer
		f.gateways = append(f.gateways, n)
	}
}

func (f *processFleet) node(name, address string, args ...string) *node {
	return &node{
		name: name,
		url:  "http://" + address,
		args: args,
		env:  []string{"COMFREY_KEY=" + processKey, "COMFREY_PLATFORM=" + f.platformURL(address)},
		log:  &processLog{},
	}
}

// platformURL returns the platform's address; the first node is the platform.
func (f *processFleet) platformURL(own string) string {
	if f.platform == nil {
		return "http://" + own
	}
	return f.platform.url
}

// all returns every node in the order of their start.
func (f *processFleet) all() []*node {
	s := append([]*node{f.platform}, f.engines...)
	s = append(s, f.applications...)
	return append(s, f.members()...)
}

// members returns the processes of the system itself.
func (f *processFleet) members() []*node {
	return append(append([]*node{}, f.sidecars...), f.gateways...)
}

// publish writes a file of the configuration folder.
func (f *processFleet) publish(name, content string) {
	f.t.Helper()
	if err := os.WriteFile(filepath.Join(f.folder, name), []byte(content), 0o644); err != nil {
		f.t.Fatal(err)
	}
}

// writeHosts writes the host list; a host without a state is live.
func (f *processFleet) writeHosts() {
	f.t.Helper()
	type host struct {
		Host       string `json:"host"`
		DataCentre string `json:"data-centre"`
		Role       string `json:"role"`
		Address    string `json:"address"`
		Service    string `json:"service"`
		State      string `json:"state"`
		Fencing    string `json:"fencing,omitempty"`
	}
	var s []host
	for i, n := range f.members() {
		h := host{Host: n.name, DataCentre: "north", Role: "sidecar", Address: f.internal[n.name], Service: generationService, State: "live", Fencing: "enforced"}
		switch {
		case i >= len(f.sidecars):
			h.Role, h.Service, h.Fencing = "gateway", "", ""
		case i >= upstreamsOfKind:
			h.Service = orderService
		}
		if v := f.states[n.name]; v != "" {
			h.State = v
		}
		s = append(s, h)
	}
	b, err := json.Marshal(s)
	if err != nil {
		f.t.Fatal(err)
	}
	if err := os.WriteFile(f.hosts, b, 0o644); err != nil {
		f.t.Fatal(err)
	}
}

// waitReady waits until every process is ready and both gateways reach every
// service.
func (f *processFleet) waitReady() {
	f.t.Helper()
	for _, n := range f.members() {
		f.waitNode(n)
	}
	c := f.caller()
	for _, g := range f.gateways {
		eventually(f.t, "a first answer at "+g.name, func() bool {
			return c.Stream(f.t.Context(), g.url, lengthBody(1), "", nil).Complete
		})
		eventually(f.t, "a first ticket at "+g.name, func() bool {
			_, err := c.Mint(f.t.Context(), g.url, orderService)
			return err == nil
		})
	}
}

// waitNode waits until a gateway or sidecar is ready.
func (f *processFleet) waitNode(n *node) {
	f.t.Helper()
	eventually(f.t, n.name+" is ready", func() bool { return status(n.admin+"/readyz") == http.StatusOK })
}

// status returns the status of a GET; 0 if there is no answer.
func status(url string) int {
	c := http.Client{Timeout: time.Second}
	resp, err := c.Get(url)
	if err != nil {
		return 0
	}
	_ = resp.Body.Close()
	return resp.StatusCode
}

// caller returns a caller with connections of its own.
func (f *processFleet) caller() comfreycaller.Caller {
	x := &http.Transport{MaxIdleConnsPerHost: 64}
	f.t.Cleanup(x.CloseIdleConnections)
	return comfreycaller.Caller{Key: callerKey, HTTP: &http.Client{Transport: x}}
}

// peers returns the arguments that name a gateway's peers address.
func (f *processFleet) peers(hosts ...string) []string {
	s := []string{"--peers"}
	for _, h := range hosts {
		s = append(s, f.internal[h])
	}
	return s
}

// lengthBody asks for an answer of exactly n tokens.
func lengthBody(n int) []byte {
	return []byte(fmt.Sprintf(`{"model":%q,"prompt":"Cut-out for a sink.","stream":true,"fake_length":%d}`, generationService, n))
}

// checkTokens asserts that an answer holds tokens 0..n-1 once, in order, of one
// generation.
func checkTokens(t testing.TB, text string, n int) {
	t.Helper()
	words := strings.Fields(text)
	if len(words) != n {
		t.Errorf("got %d tokens, want %d: %.300q", len(words), n, text)
		return
	}
	if n == 0 {
		return
	}
	mark, _, _ := strings.Cut(words[0], "-")
	for i, w := range words {
		if w != fmt.Sprintf("%s-%d", mark, i) {
			t.Errorf("token %d is %q, of generation %s", i, w, mark)
			return
		}
	}
}
