package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"testing"

	"comfreyridge.example/comfreyridge/comfreydecision"
	"comfreyridge.example/comfreyridge/comfreyverdict"
)

// metric returns the value of a metric without labels, or of one with them as
// the exposition writes them; 0 if the process does not answer.
func metric(n *node, name string) float64 {
	resp, err := http.Get(n.admin + "/metrics")
	if err != nil {
		return 0
	}
	defer func() { _ = resp.Body.Close() }()
	b := bufio.NewScanner(resp.Body)
	for b.Scan() {
		v, ok := strings.CutPrefix(b.Text(), name+" ")
		if !ok {
			continue
		}
		x, _ := strconv.ParseFloat(v, 64)
		return x
	}
	return 0
}

// revisionsOf returns the numbers of the revisions that came into force at a
// process, in order.
func revisionsOf(t testing.TB, n *node) []float64 {
	t.Helper()
	resp, err := http.Get(n.admin + "/debug/decisions")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = resp.Body.Close() }()
	var s []float64
	d := json.NewDecoder(resp.Body)
	for {
		var x comfreydecision.Decision
		err := d.Decode(&x)
		if err == io.EOF {
			return s
		}
		if err != nil {
			t.Fatal(err)
		}
		if x.Kind == comfreydecision.KindRevision && x.Reason == comfreyverdict.ReasonConfigTaken {
			v, _ := x.Figures["revision"].(float64)
			s = append(s, v)
		}
	}
}

// waitRevision waits until a revision is in force at every process.
func (f *processFleet) waitRevision(number float64) {
	f.t.Helper()
	for _, n := range f.members() {
		eventually(f.t, fmt.Sprintf("revision %v at %s", number, n.name), func() bool {
			return metric(n, "comfrey_config_revision") == number
		})
	}
}

// serves asserts that every gateway serves a stream and an order.
func (f *processFleet) serves() {
	f.t.Helper()
	c := f.caller()
	for _, g := range f.gateways {
		r := c.Stream(f.t.Context(), g.url, lengthBody(10), "", nil)
		if !r.Complete {
			f.t.Errorf("at %s: %+v", g.name, r)
		}
		checkTokens(f.t, r.Text, 10)
		ticket, err := c.Mint(f.t.Context(), g.url, orderService)
		if err != nil {
			f.t.Errorf("at %s: %v", g.name, err)
			continue
		}
		o := c.Order(f.t.Context(), http.MethodPut, g.url, orderService, ticket, []byte("slab"))
		if o.Error.Verdict != comfreyverdict.VerdictRan || f.orderRuns(ticket) != 1 {
			f.t.Errorf("at %s: %+v", g.name, o)
		}
	}
}

// restart kills a process and starts it with peers to ask.
func (f *processFleet) restart(n *node, peers ...string) {
	f.t.Helper()
	n.kill(f.t)
	n.start(f.t, f.peers(peers...)...)
	f.waitNode(n)
}

// restartTwo restarts a sidecar and a gateway, which ask the others.
func (f *processFleet) restartTwo() {
	f.t.Helper()
	f.restart(f.sidecars[0], "entry-0", "upstream-2")
	f.restart(f.gateways[1], "upstream-1", "entry-0")
	f.waitReady()
	f.serves()
}

func TestProcessesConfigured(t *testing.T) {
	t.Parallel()
	f := startProcesses(t, fleetOptions{})
	f.waitRevision(1)
	f.publish("10-limits.yaml", "limits:\n  retry-ratio: 0.09\n")
	f.waitRevision(2)

	f.publish("20-fault.yaml", "services:\n  quotes:\n    colour: red\n")
	eventually(t, "revision 3 is refused", func() bool {
		return slices.ContainsFunc(f.members(), func(n *node) bool {
			return metric(n, fmt.Sprintf("comfrey_config_revisions_total{reason=%q}", comfreyverdict.ReasonConfigInvalid)) > 0
		})
	})
	f.serves()
	f.waitRevision(2)
	if err := os.Remove(filepath.Join(f.folder, "20-fault.yaml")); err != nil {
		t.Fatal(err)
	}
	f.waitRevision(4)

	f.setPlatform(`{"down":true}`)
	f.serves()
	f.restartTwo()
	f.waitRevision(4)

	// A platform that is stale: it serves revision 1 of what it held long ago.
	if err := os.Remove(filepath.Join(f.folder, "10-limits.yaml")); err != nil {
		t.Fatal(err)
	}
	f.platform.kill(t)
	f.platform.start(t)
	eventually(t, "the platform is back", func() bool { return status(f.platform.url+"/v1/hosts") == http.StatusOK })
	f.restartTwo()
	f.waitRevision(4)
	for _, n := range f.members() {
		s := revisionsOf(t, n)
		if len(s) == 0 || !slices.IsSorted(s) || s[len(s)-1] != 4 || slices.Contains(s, 3) {
			t.Errorf("%s had the revisions %v in force", n.name, s)
		}
	}
	for _, n := range []*node{f.sidecars[0], f.gateways[1]} {
		if s := revisionsOf(t, n); len(s) != 1 {
			t.Errorf("%s started with a revision of a stale platform: %v", n.name, s)
		}
	}
}
