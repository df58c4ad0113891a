package comfreyplacement_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"comfreyridge.example/comfreyridge/comfreyplacement"
)

// The requests of a service with patient drafts, and of one without.
var (
	patientDraft = comfreyplacement.Patience{Target: 4 * time.Second, ShortestTarget: 1500 * time.Millisecond, LongestTarget: 4 * time.Second}
	patientCheck = comfreyplacement.Patience{Target: 1500 * time.Millisecond, ShortestTarget: 1500 * time.Millisecond, LongestTarget: 4 * time.Second}
	usualDraft   = comfreyplacement.Patience{Target: 1800 * time.Millisecond, ShortestTarget: 1500 * time.Millisecond, LongestTarget: 1800 * time.Millisecond}
)

func ExamplePatience() {
	check := comfreyplacement.Waiter{Priority: 1, PromptTokens: 2550, Target: patientCheck.Target}
	fmt.Println(patientDraft.RoomForOthers([]comfreyplacement.Waiter{check}, 1, 0, 0), patientCheck.RoomForOthers([]comfreyplacement.Waiter{check}, 1, 0, 0))
	fmt.Println(patientDraft.QueueTimeout(0, 39*time.Second, 3000), patientCheck.QueueTimeout(0, 6*time.Second, 2550))
	// Output:
	// 2550 0
	// 2.4s 375ms
}

// TestServiceWithoutPatientRequestsIsAsBefore checks that a service whose targets are
// close to each other is served as without patience, also to callers who return.
func TestServiceWithoutPatientRequestsIsAsBefore(t *testing.T) {
	check := []comfreyplacement.Waiter{{Priority: 0, PromptTokens: 2550, Target: 1500 * time.Millisecond}}
	for _, isReturn := range []bool{false, true} {
		p := usualDraft
		p.IsReturn = isReturn
		if p.IsPatient() || p.TracksReturns() || p.RoomForOthers(check, 1, 0, time.Second) != 0 || p.LeavesRoomForMoves(0, time.Second) || p.QueueClass() != comfreyplacement.QueueUsual {
			t.Errorf("return %v: expected no patience", isReturn)
		}
		for _, waited := range []time.Duration{0, time.Second, 5 * time.Second} {
			if got, want := p.QueueTimeout(waited, 30*time.Second, 3000), comfreyplacement.QueueTimeout(p.Target, waited, 3000); got != want {
				t.Errorf("waited %v: expected a queue timeout of %v, got %v", waited, want, got)
			}
		}
	}
}

// TestPatientRequestsYield checks for whom drafts and returning callers leave room: for
// checks that are as urgent, for generations that move and, if they are late already,
// for all that can be on time.
func TestPatientRequestsYield(t *testing.T) {
	check := comfreyplacement.Waiter{Priority: 1, PromptTokens: 2550, Target: 1500 * time.Millisecond}
	draft := comfreyplacement.Waiter{Priority: 1, PromptTokens: 3100, Target: 4 * time.Second}
	lateDraft, lateCheck := patientDraft, patientCheck
	lateDraft.IsReturn, lateCheck.IsReturn = true, true
	returned := draft
	returned.IsReturn = true
	for _, c := range []struct {
		name     string
		p        comfreyplacement.Patience
		waiter   comfreyplacement.Waiter
		priority int
		queued   time.Duration
		want     int
	}{
		{"draft to check", patientDraft, check, 1, 0, 2550},
		{"more urgent draft to check", patientDraft, check, 0, 0, 0},
		{"draft to draft", patientDraft, draft, 1, 0, 0},
		{"draft to a generation that moves", patientDraft, comfreyplacement.NewMovingWaiter("llm", 3500), 1, 0, 3500},
		{"check to draft", patientCheck, draft, 1, 0, 0},
		{"returned draft to draft", lateDraft, draft, 1, 0, 3100},
		{"returned draft to draft after a long time", lateDraft, draft, 1, 5 * time.Second, 0},
		{"returned draft to another", lateDraft, returned, 1, 0, 0},
		{"returned check to draft", lateCheck, draft, 1, 0, 3100},
	} {
		if got := c.p.RoomForOthers([]comfreyplacement.Waiter{c.waiter}, c.priority, c.queued, 6*time.Second); got != c.want {
			t.Errorf("%s: expected room for %d tokens, got %d", c.name, c.want, got)
		}
	}
}

// TestReturnedCallerWaitsLonger checks that a caller who has returned, and will not once
// more, waits for up to half of the time that is left.
func TestReturnedCallerWaitsLonger(t *testing.T) {
	p := patientCheck
	p.IsReturn = true
	if got := p.QueueTimeout(0, 4*time.Second, 2550); got != 2*time.Second {
		t.Errorf("expected a queue timeout of 2 s, got %v", got)
	}
	if got := p.QueueTimeout(0, 39*time.Second, 2550); got != 6*time.Second {
		t.Errorf("expected a queue timeout of 6 s, got %v", got)
	}
}

// TestDeparturesTellHowMuchLeavesAtOnce replays eight of 47 replicas that begin to leave
// within half a second, every 3.3 s.
func TestDeparturesTellHowMuchLeavesAtOnce(t *testing.T) {
	var d comfreyplacement.Departures
	start := time.Date(2026, 12, 4, 8, 0, 0, 0, time.UTC)
	if d.Share(start) != 0 {
		t.Error("expected no share before any replica leaves")
	}
	for i := range 4 {
		for k := range 8 {
			d.Observe(start.Add(time.Duration(i)*3300*time.Millisecond+time.Duration(k)*60*time.Millisecond), 47-k)
		}
	}
	if got := d.Share(start.Add(11 * time.Second)); got < 0.16 || got > 0.21 {
		t.Errorf("expected a share of about 8 of 47, got %.3f", got)
	}
	if got := d.Share(start.Add(time.Minute)); got != 0 {
		t.Errorf("expected no share long after, got %.3f", got)
	}
}

// TestSmallWaitersAreToldBesideManyLargeOnes replays a queue of 40 drafts, one check, a
// generation that moves and a caller who has returned.
func TestSmallWaitersAreToldBesideManyLargeOnes(t *testing.T) {
	var l []comfreyplacement.Waiter
	for i := range 40 {
		l = append(l, comfreyplacement.Waiter{Service: "llm", Priority: 1, PromptTokens: 3000 + i, Target: 4 * time.Second})
	}
	check := comfreyplacement.Waiter{Service: "llm", Priority: 1, PromptTokens: 2550, Target: 1500 * time.Millisecond}
	moving := comfreyplacement.NewMovingWaiter("llm", 3500)
	returned := comfreyplacement.Waiter{Service: "llm", Priority: 1, PromptTokens: 9000, Target: 4 * time.Second, IsReturn: true}
	got := comfreyplacement.LargestWaiters(append(l, check, moving, returned))
	if len(got) != 3 || !slices.Contains(got, check) || !slices.Contains(got, moving) || !slices.Contains(got, l[39]) {
		t.Errorf("expected the largest draft, the check and the generation that moves, got %+v", got)
	}
}
