package comfreyreplica_test

import (
	"testing"
	"time"

	"comfreyridge.example/comfreyridge/comfreyreplica"
)

var start = time.Unix(1_000_000, 0)

func at(d time.Duration) time.Time { return start.Add(d) }

func listed(id string) comfreyreplica.Registration {
	return comfreyreplica.Registration{ID: id, Service: "drafts", Address: "127.0.0.1:1"}
}

func takesWork(t *testing.T, s *comfreyreplica.Set, id string) bool {
	t.Helper()
	r, ok := s.Get(id)
	if !ok {
		t.Fatalf("replica %s is unknown", id)
	}
	return r.IsAccepting()
}

func TestDrainingReplicaTakesNoWork(t *testing.T) {
	s := comfreyreplica.NewSet(comfreyreplica.Config{})
	s.Update(at(0), listed("a"))
	l := listed("a")
	l.IsDraining = true
	if c := s.Update(at(time.Second), l); len(c) != 1 || c[0].Replica.State != comfreyreplica.StateLeaving {
		t.Fatalf("got %v, want one change to leaving", c)
	}
	s.Remove(at(2*time.Second), "a")
	if takesWork(t, s, "a") {
		t.Error("a draining replica takes work")
	}
}

func TestRemovedEntryWithoutOutageLeavesAtOnce(t *testing.T) {
	s := comfreyreplica.NewSet(comfreyreplica.Config{})
	s.Update(at(0), listed("a"))
	s.Remove(at(time.Second), "a")
	if takesWork(t, s, "a") {
		t.Error("a replica without an entry takes work")
	}
}

func TestLapsedEntryIsUsedUntilItIsKnownToBeGone(t *testing.T) {
	s := comfreyreplica.NewSet(comfreyreplica.Config{})
	s.Update(at(0), listed("back"))
	s.Update(at(0), listed("gone"))
	s.PlatformUnreachable()
	s.PlatformReachable(at(10 * time.Second))
	s.Remove(at(10*time.Second), "back")
	s.Remove(at(10*time.Second), "gone")
	if !takesWork(t, s, "back") || !takesWork(t, s, "gone") {
		t.Fatal("a lapsed replica takes no work right after the outage")
	}
	s.Update(at(11*time.Second), listed("back"))
	s.Expire(at(12 * time.Second))
	if !takesWork(t, s, "back") {
		t.Error("a replica whose entry is back takes no work")
	}
	if takesWork(t, s, "gone") {
		t.Error("a replica whose entry did not come back takes work")
	}
}

func TestReplicaThatStartsAnewUnderItsIDTakesWork(t *testing.T) {
	s := comfreyreplica.NewSet(comfreyreplica.Config{})
	l := listed("a")
	l.StartMillis, l.IsDraining = 1, true
	s.Update(at(0), l)
	l.StartMillis, l.IsDraining = 2, false
	s.Update(at(5*time.Second), l)
	if !takesWork(t, s, "a") {
		t.Error("a replica that started anew takes no work")
	}
}

func TestOwnWordShortensTheEnd(t *testing.T) {
	s := comfreyreplica.NewSet(comfreyreplica.Config{})
	s.Update(at(0), listed("a"))
	s.MarkLeaving(at(time.Second), "a", 1500*time.Millisecond)
	r, _ := s.Get("a")
	if r.IsAccepting() || !r.EndsAt.Equal(at(2500*time.Millisecond)) {
		t.Errorf("got %v ending at %v", r.State, r.EndsAt)
	}
}

func TestChangedDrainTimeCountsForLaterDepartures(t *testing.T) {
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
