package comfreydemo

import (
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"comfreyridge.example/comfreyridge/comfreycaller"
	"comfreyridge.example/comfreyridge/comfreyfakeengine"
	"comfreyridge.example/comfreyridge/comfreyfleet"
	"comfreyridge.example/comfreyridge/comfreysidecar"
)

// load sends streams through a gateway until stop is closed.
type load struct {
	wg       sync.WaitGroup
	complete atomic.Int64
	failed   chan comfreycaller.Result
}

const loadCallers = 8

func startLoad(t testing.TB, f *Fleet, gateway int, stop <-chan struct{}) *load {
	l := &load{failed: make(chan comfreycaller.Result, 1000)}
	c := newCaller(t)
	for range loadCallers {
		l.wg.Go(func() {
			for {
				select {
				case <-stop:
					return
				default:
				}
				r := c.Stream(t.Context(), f.URL(gateway), lengthBody(t, 40, true), "", nil)
				if r.Complete && len(strings.Fields(r.Text)) == 40 {
					l.complete.Add(1)
					continue
				}
				l.failed <- r
				return
			}
		})
	}
	return l
}

// wait ends the load and fails the test for every request that was cut off.
func (l *load) wait(t testing.TB) {
	t.Helper()
	l.wg.Wait()
	close(l.failed)
	for r := range l.failed {
		t.Errorf("a request was cut off or refused: %+v", r)
	}
	if l.complete.Load() == 0 {
		t.Error("no request completed")
	}
}

func (l *load) waitFor(t testing.TB, n int64) {
	t.Helper()
	for l.complete.Load() < n && t.Context().Err() == nil && len(l.failed) == 0 {
		time.Sleep(time.Millisecond)
	}
}

func TestStoppedSidecarsCutNoRequestOff(t *testing.T) {
	f := startFleet(t, FleetConfig{Engines: 3})
	stop := make(chan struct{})
	l := startLoad(t, f, 0, stop)
	l.waitFor(t, 10)
	f.Sidecars[0].Stop()
	f.Sidecars[1].Stop()
	<-f.Sidecars[0].Done
	<-f.Sidecars[1].Done
	l.waitFor(t, l.complete.Load()+10)
	close(stop)
	l.wait(t)
	if f.Sidecars[0].Err != nil || f.Sidecars[1].Err != nil {
		t.Fatalf("the stop failed: %v, %v", f.Sidecars[0].Err, f.Sidecars[1].Err)
	}
}

func TestStoppedGatewayCutsNoRequestOff(t *testing.T) {
	f := startFleet(t, FleetConfig{Engines: 2})
	c := newCaller(t)
	results := make(chan comfreycaller.Result, loadCallers)
	var wg sync.WaitGroup
	for range loadCallers {
		wg.Go(func() { results <- c.Stream(t.Context(), f.URL(0), lengthBody(t, 200, true), "", nil) })
	}
	waitForRun(t, f)
	for f.gateways[0].OpenRequests() < loadCallers && t.Context().Err() == nil {
		time.Sleep(time.Millisecond)
	}
	f.Gateways[0].Stop()
	<-f.Gateways[0].Done
	wg.Wait()
	for range loadCallers {
		if r := <-results; !r.Complete {
			t.Errorf("a request was cut off: %+v", r)
		}
	}
	if f.Gateways[0].Err != nil {
		t.Fatal(f.Gateways[0].Err)
	}
}

func TestDrainLimitGivesATypedEnd(t *testing.T) {
	for _, role := range []string{"sidecar", "gateway"} {
		t.Run(role, func(t *testing.T) {
			c := FleetConfig{Engines: 1, Sidecar: comfreysidecar.Config{DrainLimit: 50 * time.Millisecond}}
			c.Gateway.DrainLimit = 50 * time.Millisecond
			f := startFleet(t, c)
			n := f.Sidecars[0]
			if role == "gateway" {
				n = f.Gateways[0]
			}
			seen := 0
			r := newCaller(t).Stream(t.Context(), f.URL(0), lengthBody(t, 100000, true), "", func(comfreycaller.Event) {
				seen++
				if seen == 10 {
					n.Stop()
				}
			})
			<-n.Done
			if r.Complete || r.Error.Reason != "drain-limit" || r.Error.Verdict.String() != "ran" {
				t.Fatalf("got %+v", r)
			}
			if n.Err != nil {
				t.Fatal(n.Err)
			}
		})
	}
}

// isLeaving reports whether a sidecar is not ready because it leaves. One that has just
// started may be not ready because it has been paused.
func isLeaving(err error) bool {
	return err != nil && strings.Contains(err.Error(), "the sidecar is leaving")
}

func TestLeavingSidecarRefusesWhileTheGatewayBelievesItLive(t *testing.T) {
	f := startFleet(t, FleetConfig{Engines: 2, Engine: comfreyfakeengine.Config{StepTime: 10 * time.Microsecond}})
	c := newCaller(t)
	// The second gateway learns of the leaving host; the first does not.
	f.version++
	f.gateways[1].ObserveView(comfreyfleet.NewView(f.version, time.Now().Add(time.Second), []comfreyfleet.Member{
		{Host: f.members[0].Host, Address: f.members[0].Address, Service: GenerationService, State: comfreyfleet.StateLeaving},
		f.members[1],
	}))
	for !isLeaving(f.Sidecars[0].ready()) && t.Context().Err() == nil {
		f.gateways[1].Probe(t.Context(), f.members[0])
	}
	before := len(f.Engines[0].Runs())
	for range 20 {
		if r := c.Stream(t.Context(), f.URL(0), lengthBody(t, 5, true), "", nil); !r.Complete {
			t.Fatalf("got %+v", r)
		}
	}
	if n := len(f.Engines[0].Runs()); n != before {
		t.Fatalf("%d requests began at a leaving upstream", n-before)
	}
}
