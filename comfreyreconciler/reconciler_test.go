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
	m := comfreyreconciler.NewReconciler(comfreyreconciler.Config{Incarnation: 7, IsFencingEnforced: true})
	fmt.Println(m.Next(start).Kind)
	m.SetDesiredState(41, t)
	m.RenewLease(41, start.Add(15*time.Second))
	fmt.Println(m.Next(start).Kind)
	m.Observe(start, comfreyreconciler.Observation{})

	a := m.Next(start)
	fmt.Println(a.Kind, a.Command.Kind, a.Command.FencingNumber)
	fmt.Println(m.BeginSend(start.Add(time.Minute), a.Command), m.BeginSend(start, a.Command))
	fmt.Println(m.Next(start).Kind)
	// Output:
	// revalidate
	// read-back
	// send load-model 0000000000000029-0000000000000007-0000000000000001
	// false true
	// wait
}

// testConvergence lets a sidecar and its successors order one upstream through
// pauses, lost answers and late orders, and wants the upstream to stay at the
// newest target once the faults are over and every process is awake.
func testConvergence(t *testing.T, isEnforced bool) {
	late := 0
	comfreyseed.Each(t, 1000, func(t *testing.T, r *rand.Rand) {
		w := newWorld(t, r, isEnforced)
		for range 600 {
			w.step()
		}
		if isLate := r.IntN(2) == 0; isLate {
			w.stepUntilSettled()
		}
		w.settle()
		for end := w.now.Add(2 * time.Minute); w.now.Before(end); {
			w.step()
		}
		n := len(w.engine.applied)
		for end := w.now.Add(time.Minute); w.now.Before(end); {
			w.step()
		}
		if w.engine.state != w.target {
			t.Fatalf("the state is %+v, want %+v", w.engine.state, w.target)
		}
		if len(w.engine.applied) != n {
			t.Fatalf("%d orders take effect after two quiet minutes", len(w.engine.applied)-n)
		}
		late += w.late
	})
	t.Logf("%d orders arrived after a newer one", late)
}

func TestUpstreamThatEnforcesFencingConverges(t *testing.T) {
	testConvergence(t, true)
}

func TestUpstreamThatIgnoresFencingConverges(t *testing.T) {
	testConvergence(t, false)
}

func TestOrderIsBasedOnAFreshState(t *testing.T) {
	m := comfreyreconciler.NewReconciler(comfreyreconciler.Config{Incarnation: 7, IsFencingEnforced: true, MaxStateAge: time.Second})
	m.SetDesiredState(41, comfreyreconciler.State{Model: "template"})
	m.RenewLease(41, start.Add(time.Hour))
	m.Observe(start, comfreyreconciler.Observation{})
	a := m.Next(start)
	if m.BeginSend(start.Add(time.Second), a.Command) {
		t.Error("an order is sent on a state that was read a second ago")
	}
	if k := m.Next(start.Add(time.Second)).Kind; k != comfreyreconciler.ActionReadBack {
		t.Errorf("action is %s, want read-back", k)
	}
}

func TestMoverThatIsNotTheNewestSendsNothing(t *testing.T) {
	for _, c := range []struct {
		name string
		see  func(m *comfreyreconciler.Reconciler)
		want comfreyreconciler.ActionKind
	}{
		{"newer incarnation", func(m *comfreyreconciler.Reconciler) { m.ObserveIncarnation(8) }, comfreyreconciler.ActionStop},
		{"newer revision", func(m *comfreyreconciler.Reconciler) { m.ObserveRevision(42) }, comfreyreconciler.ActionRevalidate},
		{"newer order read back", func(m *comfreyreconciler.Reconciler) {
			m.Observe(start, comfreyreconciler.Observation{FencingNumber: comfreyreconciler.FencingNumber{Revision: 41, Incarnation: 8}})
		}, comfreyreconciler.ActionStop},
	} {
		m := comfreyreconciler.NewReconciler(comfreyreconciler.Config{Incarnation: 7, IsFencingEnforced: true})
		m.SetDesiredState(41, comfreyreconciler.State{Model: "template"})
		m.SetDesiredState(40, comfreyreconciler.State{Model: "old"})
		m.RenewLease(41, start.Add(time.Minute))
		m.Observe(start, comfreyreconciler.Observation{})
		a := m.Next(start)
		if a.Kind != comfreyreconciler.ActionSend || a.Command.Desired.Model != "template" {
			t.Fatalf("%s: action is %+v", c.name, a)
		}
		c.see(m)
		if m.BeginSend(start, a.Command) || m.Next(start).Kind != c.want {
			t.Errorf("%s: action is %s, want %s", c.name, m.Next(start).Kind, c.want)
		}
	}
}

func TestFirstOrderWaitsForThePredecessorUnlessFencingIsEnforced(t *testing.T) {
	for _, isEnforced := range []bool{false, true} {
		m := comfreyreconciler.NewReconciler(comfreyreconciler.Config{Incarnation: 1, Start: start, TakeoverDelay: time.Minute, IsFencingEnforced: isEnforced})
		m.SetDesiredState(1, comfreyreconciler.State{Model: "template"})
		m.RenewLease(1, start.Add(time.Hour))
		d := firstLoad(m, start).Sub(start)
		if want := map[bool]time.Duration{false: time.Minute, true: 0}[isEnforced]; d != want {
			t.Errorf("enforced %t: the first order is sent after %s, want %s", isEnforced, d, want)
		}
	}
}
