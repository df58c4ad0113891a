package comfreyreconciler_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"comfreyridge.example/comfreyridge/comfreyreconciler"
	"comfreyridge.example/comfreyridge/comfreyseed"
)

var start = time.Unix(1764796800, 0)

func ExampleReconciler() {
	t := comfreyreconciler.State{Model: "template", Version: "2", Role: "generate"}
	r := comfreyreconciler.NewReconciler(comfreyreconciler.Config{Incarnation: 7, IsFencingEnforced: true})
	fmt.Println(r.Next(start).Kind)
	r.SetDesiredState(41, t)
	r.RenewLease(41, start.Add(15*time.Second))
	fmt.Println(r.Next(start).Kind)
	r.Observe(start, comfreyreconciler.Observation{})

	a := r.Next(start)
	fmt.Println(a.Kind, a.Command.Kind, a.Command.FencingNumber)
	fmt.Println(r.BeginSend(start.Add(time.Minute), a.Command), r.BeginSend(start, a.Command))
	fmt.Println(r.Next(start).Kind)
	// Output:
	// revalidate
	// read-back
	// send load-model 0000000000000029-0000000000000007-0000000000000001
	// false true
	// wait
}

// testConvergence runs a sidecar and its successors against one upstream, with
// pauses, lost results and delayed commands. Once the faults are over and every
// process runs again, the upstream must reach the newest desired state and stay
// there.
func testConvergence(t *testing.T, isEnforced bool) {
	staleDeliveries := 0
	comfreyseed.Each(t, 1000, func(t *testing.T, r *rand.Rand) {
		m := newSimulation(t, r, isEnforced)
		for range 600 {
			m.step()
		}
		if isSettledFirst := r.IntN(2) == 0; isSettledFirst {
			m.stepUntilSettled()
		}
		m.endFaults()
		for end := m.now.Add(2 * time.Minute); m.now.Before(end); {
			m.step()
		}
		n := len(m.engine.applied)
		for end := m.now.Add(time.Minute); m.now.Before(end); {
			m.step()
		}
		if m.engine.state != m.desired {
			t.Fatalf("the state is %+v, want %+v", m.engine.state, m.desired)
		}
		if len(m.engine.applied) != n {
			t.Fatalf("%d commands took effect later than two minutes after the last fault", len(m.engine.applied)-n)
		}
		staleDeliveries += m.staleDeliveries
	})
	t.Logf("%d commands arrived after a newer one", staleDeliveries)
}

func TestUpstreamThatEnforcesFencingConverges(t *testing.T) {
	testConvergence(t, true)
}

func TestUpstreamThatIgnoresFencingConverges(t *testing.T) {
	testConvergence(t, false)
}

func TestCommandNeedsFreshState(t *testing.T) {
	r := comfreyreconciler.NewReconciler(comfreyreconciler.Config{Incarnation: 7, IsFencingEnforced: true, MaxStateAge: time.Second})
	r.SetDesiredState(41, comfreyreconciler.State{Model: "template"})
	r.RenewLease(41, start.Add(time.Hour))
	r.Observe(start, comfreyreconciler.Observation{})
	a := r.Next(start)
	if r.BeginSend(start.Add(time.Second), a.Command) {
		t.Error("a command is sent on a state that was read a second ago")
	}
	if k := r.Next(start.Add(time.Second)).Kind; k != comfreyreconciler.ActionReadBack {
		t.Errorf("action is %s, want read-back", k)
	}
}

func TestSupersededReconcilerSendsNothing(t *testing.T) {
	for _, c := range []struct {
		name    string
		observe func(r *comfreyreconciler.Reconciler)
		want    comfreyreconciler.ActionKind
	}{
		{"newer incarnation", func(r *comfreyreconciler.Reconciler) { r.ObserveIncarnation(8) }, comfreyreconciler.ActionStop},
		{"newer revision", func(r *comfreyreconciler.Reconciler) { r.ObserveRevision(42) }, comfreyreconciler.ActionRevalidate},
		{"newer command read back", func(r *comfreyreconciler.Reconciler) {
			r.Observe(start, comfreyreconciler.Observation{FencingNumber: comfreyreconciler.FencingNumber{Revision: 41, Incarnation: 8}})
		}, comfreyreconciler.ActionStop},
	} {
		r := comfreyreconciler.NewReconciler(comfreyreconciler.Config{Incarnation: 7, IsFencingEnforced: true})
		r.SetDesiredState(41, comfreyreconciler.State{Model: "template"})
		r.SetDesiredState(40, comfreyreconciler.State{Model: "old"})
		r.RenewLease(41, start.Add(time.Minute))
		r.Observe(start, comfreyreconciler.Observation{})
		a := r.Next(start)
		if a.Kind != comfreyreconciler.ActionSend || a.Command.Desired.Model != "template" {
			t.Fatalf("%s: action is %+v, want to send a command for the model template", c.name, a)
		}
		c.observe(r)
		if r.BeginSend(start, a.Command) || r.Next(start).Kind != c.want {
			t.Errorf("%s: action is %s, want %s", c.name, r.Next(start).Kind, c.want)
		}
	}
}

func TestFirstCommandWaitsForPredecessorUnlessFencingIsEnforced(t *testing.T) {
	for _, isEnforced := range []bool{false, true} {
		r := comfreyreconciler.NewReconciler(comfreyreconciler.Config{Incarnation: 1, Start: start, TakeoverDelay: time.Minute, IsFencingEnforced: isEnforced})
		r.SetDesiredState(1, comfreyreconciler.State{Model: "template"})
		r.RenewLease(1, start.Add(time.Hour))
		d := timeOfFirstLoad(r, start).Sub(start)
		if want := map[bool]time.Duration{false: time.Minute, true: 0}[isEnforced]; d != want {
			t.Errorf("fencing enforced %t: the first command is sent after %s, want %s", isEnforced, d, want)
		}
	}
}
