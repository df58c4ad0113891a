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
