package comfreyreplica_test

import (
	"testing"
	"time"

	"comfreyridge.example/comfreyridge/comfreyreplica"
)

var start = time.Unix(1_000_000, 0)

func at(d time.Duration) time.Time { return start.Add(d) }

func registration(id string) comfreyreplica.Registration {
	return comfreyreplica.Registration{ID: id, Service: "drafts", Address: "127.0.0.1:1"}
}

func isAccepting(t *testing.T, s *comfreyreplica.Set, id string) bool {
	t.Helper()
	r, ok := s.Get(id)
	if !ok {
		t.Fatalf("replica %s is unknown", id)
	}
	return r.IsAccepting()
}

func TestDrainingReplicaIsNotAccepting(t *testing.T) {
	s := comfreyreplica.NewSet(comfreyreplica.Config{})
	s.Update(at(0), registration("a"))
	l := registration("a")
	l.IsDraining = true
	if c := s.Update(at(time.Second), l); len(c) != 1 || c[0].Replica.State != comfreyreplica.StateLeaving {
		t.Fatalf("got %v, want one change to leaving", c)
	}
	s.Remove(at(2*time.Second), "a")
	if isAccepting(t, s, "a") {
		t.Error("a draining replica accepts new requests")
	}
}

func TestRemovalWithoutOutageTakesEffectAtOnce(t *testing.T) {
	s := comfreyreplica.NewSet(comfreyreplica.Config{})
	s.Update(at(0), registration("a"))
	s.Remove(at(time.Second), "a")
	if isAccepting(t, s, "a") {
		t.Error("a replica without a registration accepts new requests")
	}
}

func TestLapsedReplicaIsAcceptingDuringOutageGrace(t *testing.T) {
	s := comfreyreplica.NewSet(comfreyreplica.Config{})
	s.Update(at(0), registration("back"))
	s.Update(at(0), registration("gone"))
	s.PlatformUnreachable()
	s.PlatformReachable(at(10 * time.Second))
	s.Remove(at(10*time.Second), "back")
	s.Remove(at(10*time.Second), "gone")
	if !isAccepting(t, s, "back") || !isAccepting(t, s, "gone") {
		t.Fatal("a lapsed replica does not accept new requests right after the outage")
	}
	s.Update(at(11*time.Second), registration("back"))
	s.Expire(at(12 * time.Second))
	if !isAccepting(t, s, "back") {
		t.Error("a replica that renewed its registration does not accept new requests")
	}
	if isAccepting(t, s, "gone") {
		t.Error("a replica that did not renew its registration accepts new requests")
	}
}

func TestRestartedReplicaWithSameIDIsAccepting(t *testing.T) {
	s := comfreyreplica.NewSet(comfreyreplica.Config{})
	l := registration("a")
	l.StartMillis, l.IsDraining = 1, true
	s.Update(at(0), l)
	l.StartMillis, l.IsDraining = 2, false
	s.Update(at(5*time.Second), l)
	if !isAccepting(t, s, "a") {
		t.Error("a restarted replica does not accept new requests")
	}
}

func TestAnnouncedEndReplacesDrainPeriod(t *testing.T) {
	s := comfreyreplica.NewSet(comfreyreplica.Config{})
	s.Update(at(0), registration("a"))
	s.MarkLeaving(at(time.Second), "a", 1500*time.Millisecond)
	r, _ := s.Get("a")
	if r.IsAccepting() || !r.EndsAt.Equal(at(2500*time.Millisecond)) {
		t.Errorf("got %v ending at %v, want leaving at the announced time", r.State, r.EndsAt)
	}
}

func TestChangedDrainPeriodAppliesToLaterLeaving(t *testing.T) {
	s := comfreyreplica.NewSet(comfreyreplica.Config{DrainPeriod: 2 * time.Second})
	now := time.Unix(100, 0)
	for _, id := range []string{"a", "b"} {
		s.Update(now, comfreyreplica.Registration{ID: id, Service: "llm"})
	}
	s.MarkLeaving(now, "a", 0)
	s.Configure(comfreyreplica.Config{DrainPeriod: 3 * time.Second})
	s.MarkLeaving(now, "b", 0)
	for id, want := range map[string]time.Duration{"a": 2 * time.Second, "b": 3 * time.Second} {
		if r, _ := s.Get(id); r.EndsAt.Sub(now) != want {
			t.Errorf("%s ends in %v, want %v", id, r.EndsAt.Sub(now), want)
		}
	}
}

// TestRestoredRegistrations replays a store that is restored from an older copy.
// The copy lists replicas that have left since and an earlier start of another
// one, and lacks a replica that serves.
func TestRestoredRegistrations(t *testing.T) {
	s := comfreyreplica.NewSet(comfreyreplica.Config{})
	restarted := registration("restarted")
	restarted.StartMillis = 2
	for _, l := range []comfreyreplica.Registration{registration("left"), registration("draining"), registration("lapsed"), registration("serving"), restarted} {
		s.Update(at(0), l)
	}
	s.Remove(at(time.Second), "left")
	s.Remove(at(time.Second), "lapsed")
	s.MarkLeaving(at(time.Second), "draining", 0)
	s.PlatformRestored(at(2 * time.Second))
	earlier := registration("restarted")
	earlier.StartMillis, earlier.Address = 1, "127.0.0.1:9"
	for _, l := range []comfreyreplica.Registration{registration("left"), registration("draining"), registration("lapsed"), earlier} {
		if c := s.UpdateRestored(at(2*time.Second), l); len(c) != 0 {
			t.Errorf("the older copy changed %+v", c)
		}
	}
	s.Remove(at(2*time.Second), "serving")
	if !isAccepting(t, s, "serving") {
		t.Error("a replica that the older copy lacks accepts no requests")
	}
	if c := s.UpdateRestored(at(2*time.Second), registration("new")); len(c) != 1 || !c[0].IsNew {
		t.Errorf("an unknown replica of the older copy is not used: %v", c)
	}
	s.Update(at(3*time.Second), registration("serving"))
	s.Update(at(3*time.Second), registration("lapsed")) // It is running and has registered again.
	s.Remove(at(5*time.Second), "left")
	s.Expire(at(7 * time.Second))
	for id, want := range map[string]bool{"left": false, "draining": false, "lapsed": true, "serving": true, "restarted": true, "new": true} {
		if got := isAccepting(t, s, id); got != want {
			t.Errorf("replica %s is accepting: %v, want %v", id, got, want)
		}
	}
	if r, _ := s.Get("restarted"); r.Address != "127.0.0.1:1" {
		t.Errorf("the earlier start at %s replaced the later one", r.Address)
	}
}

// TestRestoredRegistrationIsUsedAfterGrace leaves a registration of the older
// copy in the store, so that its replica must be running although it seemed to
// have left.
func TestRestoredRegistrationIsUsedAfterGrace(t *testing.T) {
	s := comfreyreplica.NewSet(comfreyreplica.Config{})
	s.Update(at(0), registration("a"))
	s.Remove(at(time.Second), "a")
	s.PlatformRestored(at(2 * time.Second))
	s.UpdateRestored(at(2*time.Second), registration("a"))
	s.Expire(at(5 * time.Second))
	if isAccepting(t, s, "a") {
		t.Error("the replica is used within the grace")
	}
	s.Expire(at(6 * time.Second))
	if !isAccepting(t, s, "a") {
		t.Error("the replica is not used after the grace")
	}
}

// TestLeavingReplicaIsUsedAgainWhenStartBecomesKnown guards against a replica that
// announced that it leaves, and counts as restarted once the store names its start.
func TestLeavingReplicaIsUsedAgainWhenStartBecomesKnown(t *testing.T) {
	s := comfreyreplica.NewSet(comfreyreplica.Config{})
	l := comfreyreplica.Registration{ID: "a", Service: "app", Address: "a"}
	s.Update(start, l)
	s.Announce(start, "a")
	l.StartMillis = 7
	if c := s.Update(start.Add(time.Second), l); len(c) > 0 {
		t.Errorf("expected no change, got %+v", c)
	}
	if r, _ := s.Get("a"); r.IsAccepting() {
		t.Errorf("expected a replica that leaves, got state %v", r.State)
	}
	s.UpdateRestored(start.Add(time.Second), l)
	if r, _ := s.Get("a"); r.IsAccepting() {
		t.Errorf("restored: expected a replica that leaves, got state %v", r.State)
	}
	l.StartMillis = 8
	if c := s.Update(start.Add(2*time.Second), l); len(c) != 1 || !c[0].IsRestarted || !c[0].Replica.IsAccepting() {
		t.Errorf("later start: expected a restarted replica that accepts work, got %+v", c)
	}
}

// TestReadyReplicaCountsAsRestartedWhenStartBecomesKnown guards against a restart, by
// which requests in flight are taken for lost, of a replica that runs on.
func TestReadyReplicaCountsAsRestartedWhenStartBecomesKnown(t *testing.T) {
	s := comfreyreplica.NewSet(comfreyreplica.Config{})
	l := comfreyreplica.Registration{ID: "a", Service: "app", Address: "a"}
	for _, startMillis := range []int64{0, 7, 0, 7} {
		l.StartMillis = startMillis
		for _, c := range s.Update(start, l) {
			if c.IsRestarted {
				t.Errorf("start %d: expected no restart", startMillis)
			}
		}
	}
	l.StartMillis = 8
	if c := s.Update(start, l); len(c) != 1 || !c[0].IsRestarted {
		t.Errorf("expected a restart, got %+v", c)
	}
}
