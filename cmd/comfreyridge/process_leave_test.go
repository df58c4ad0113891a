package main

import (
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"comfreyridge.example/comfreyridge/comfreycaller"
)

// listLag bounds the lag of the host list. A list that arrives earlier after the
// start of a process may speak of the process before it.
const listLag = 30 * time.Second

// leaveLimit is how long after the list names it a leaving host may get work.
const leaveLimit = 5 * time.Second

func TestProcessesLeaving(t *testing.T) {
	t.Parallel()
	f := startProcesses(t, fleetOptions{})
	time.Sleep(listLag)
	leave(t, f)
}

func TestProcessesLeavingSoonAfterTheStart(t *testing.T) {
	t.Parallel()
	leave(t, startProcesses(t, fleetOptions{}))
}

// leave has the platform list the host of a running answer as leaving.
func leave(t *testing.T, f *processFleet) {
	c := f.caller()
	var wg sync.WaitGroup
	served := make(chan *node, 1)
	wg.Go(func() {
		r := c.Stream(t.Context(), f.gateways[0].url, lengthBody(2000), "", atEvent(5, func(e comfreycaller.Event) {
			served <- f.serving(e.ID)
		}))
		if !r.Complete {
			t.Errorf("the running answer was cut off: %+v", r.Error)
		}
		checkTokens(t, r.Text, 2000)
	})
	n := <-served
	f.states[n.name] = "leaving"
	f.writeHosts()
	eventually(t, "the list names the host as leaving", func() bool { return strings.Contains(f.listedHosts(), "leaving") })
	time.Sleep(leaveLimit)
	e := f.engines[0]
	if n == f.sidecars[1] {
		e = f.engines[1]
	}
	before := len(engineRuns(t, e))
	for range 20 {
		for _, g := range f.gateways {
			if r := c.Stream(t.Context(), g.url, lengthBody(3), "", nil); !r.Complete {
				t.Errorf("at %s: %+v", g.name, r)
			}
		}
	}
	if k := len(engineRuns(t, e)); k != before {
		t.Errorf("%d requests began at the leaving host", k-before)
	}
	wg.Wait()
}

// listedHosts returns the host list as the platform shows it, after its lag.
func (f *processFleet) listedHosts() string {
	resp, err := http.Get(f.platform.url + "/v1/hosts")
	if err != nil {
		return ""
	}
	defer func() { _ = resp.Body.Close() }()
	b, _ := io.ReadAll(resp.Body)
	return string(b)
}
