package comfreyreplica_test

import (
	"errors"
	"testing"
	"time"

	"comfreyridge.example/comfreyridge/comfreyreplica"
)

// newAccessSet returns a set with ready replicas of one service.
func newAccessSet(ids ...string) *comfreyreplica.Set {
	s := comfreyreplica.NewSet(comfreyreplica.Config{})
	for _, id := range ids {
		s.Update(start, comfreyreplica.Registration{ID: id, Service: "app", Address: id, StartMillis: 7})
	}
	return s
}

func checkCall(t *testing.T, s *comfreyreplica.Set, what string, now time.Time, id string, p comfreyreplica.Purpose, want error) {
	t.Helper()
	if err := s.MayCall(now, id, p); !errors.Is(err, want) {
		t.Errorf("%s: expected %v, got %v", what, want, err)
	}
}

// TestPauseHoldsForItsTimeAndStart checks that no call reaches a paused replica,
// except for two generations whose caches are there, that a pause is never
// shortened, and that it ends with the replica's start.
func TestPauseHoldsForItsTimeAndStart(t *testing.T) {
	s := newAccessSet("a", "b")
	s.Pause(start, "a", 2*time.Second, 0)
	later := start.Add(1900 * time.Millisecond)
	checkCall(t, s, "work", later, "a", comfreyreplica.PurposeWork, comfreyreplica.ErrPaused)
	checkCall(t, s, "control", later, "a", comfreyreplica.PurposeControl, comfreyreplica.ErrPaused)
	checkCall(t, s, "another replica", later, "b", comfreyreplica.PurposeWork, nil)
	for i, want := range []error{nil, nil, comfreyreplica.ErrPaused} {
		checkCall(t, s, "resume", later.Add(time.Duration(i)), "a", comfreyreplica.PurposeResume, want)
	}
	s.Pause(later, "a", 50*time.Millisecond, 0)
	checkCall(t, s, "after a shorter pause", later.Add(60*time.Millisecond), "a", comfreyreplica.PurposeWork, comfreyreplica.ErrPaused)
	s.Pause(later, "a", 5*time.Second, 0)
	checkCall(t, s, "after a longer pause", start.Add(3*time.Second), "a", comfreyreplica.PurposeWork, comfreyreplica.ErrPaused)
	s.Update(later, comfreyreplica.Registration{ID: "a", Service: "app", Address: "a", StartMillis: 8})
	checkCall(t, s, "a later start", later, "a", comfreyreplica.PurposeWork, nil)
	if _, ok := s.Pause(start, "b", -time.Second, 0); ok {
		t.Error("negative pause: expected none")
	}
	if until, _ := s.Pause(start, "b", 24*time.Hour, 0); until.Sub(start) != comfreyreplica.MaxPause {
		t.Errorf("pause of a day: expected %v, got %v", comfreyreplica.MaxPause, until.Sub(start))
	}
	if until, _ := newAccessSet("c").Pause(start, "c", time.Second, 0.999); until.Sub(start) <= time.Second || until.Sub(start) > 1250*time.Millisecond {
		t.Errorf("spread of a pause of 1 s: expected up to 0.25 s more, got %v", until.Sub(start))
	}
}

// TestReplicaOpensGraduallyAfterPause checks that after a pause one request is in
// flight, then twice as many after each response, and that a failure opens no
// further.
func TestReplicaOpensGraduallyAfterPause(t *testing.T) {
	s := newAccessSet("a")
	s.Pause(start, "a", time.Second, 0)
	now := start.Add(1100 * time.Millisecond)
	begin := func() int {
		n := 0
		for s.CanPlace(now, "a") && n < 1000 {
			s.BeginWork("a")
			n++
		}
		return n
	}
	var got []int
	for range 4 {
		n := begin()
		got = append(got, n)
		s.EndWork(now, "a", false)
		for range n - 1 {
			s.EndWork(now, "a", true)
		}
	}
	for i, want := range []int{1, 2, 4, 8} {
		if got[i] != want {
			t.Errorf("requests in flight after %d responses: expected %d, got %d", i, want, got[i])
		}
	}
	s.EndWork(now, "a", false)
	s.EndWork(now, "a", false)
	if n := begin(); n != 1000 {
		t.Errorf("after more responses: expected no limit, got %d", n)
	}
	s.Pause(now, "a", time.Second, 0)
	s.Expire(now.Add(time.Second + 20*time.Second))
	if n := begin(); n != 1000 {
		t.Errorf("long after a pause: expected no limit, got %d", n)
	}
}

// TestPauseEndNeedsAllReplicas checks that a service counts as paused only if every
// replica that accepts work is, and until the first pause ends.
func TestPauseEndNeedsAllReplicas(t *testing.T) {
	s := newAccessSet("a", "b", "c")
	s.MarkLeaving(start, "c", 0)
	s.Pause(start, "a", 6*time.Second, 0)
	if _, ok := s.PauseEnd(start, "app"); ok {
		t.Error("one of two replicas paused: expected no end")
	}
	s.Pause(start, "b", 3*time.Second, 0)
	if end, ok := s.PauseEnd(start, "app"); !ok || end.Sub(start) != 3*time.Second {
		t.Errorf("all replicas paused: expected an end after 3 s, got %v, %t", end.Sub(start), ok)
	}
	if _, ok := s.PauseEnd(start, "other"); ok {
		t.Error("a service without replicas: expected no end")
	}
}

// TestLeavingHoldsForOneStart checks that news of an earlier start of a replica,
// from whomever, do not take a later one out, and that a hint of another gateway
// never takes one out.
func TestLeavingHoldsForOneStart(t *testing.T) {
	s := newAccessSet("a")
	if c := s.MarkStartLeaving(start, comfreyreplica.Start{"a", 6}); len(c) != 0 {
		t.Errorf("an earlier start leaves: got %+v", c)
	}
	s.Hint(start, comfreyreplica.Start{"a", 6})
	if s.IsHinted(start, "a") {
		t.Error("a hint of an earlier start: expected none")
	}
	s.Hint(start, comfreyreplica.Start{"a", 7})
	if !s.IsHinted(start, "a") || s.IsHinted(start.Add(3*time.Second), "a") {
		t.Error("a hint: expected it to hold for its period")
	}
	checkCall(t, s, "after a hint", start, "a", comfreyreplica.PurposeWork, nil)
	if c := s.Announce(start, "a"); len(c) != 1 || !c[0].Replica.IsAnnounced {
		t.Errorf("an announcement: expected a change that says so, got %+v", c)
	}
	if c := s.Announce(start, "a"); len(c) != 0 {
		t.Errorf("a second announcement: expected no change, got %+v", c)
	}
	checkCall(t, s, "work", start, "a", comfreyreplica.PurposeWork, comfreyreplica.ErrLeaving)
	checkCall(t, s, "control", start, "a", comfreyreplica.PurposeControl, nil)
	s.Update(start, comfreyreplica.Registration{ID: "a", Service: "app", Address: "a", StartMillis: 7, Slots: 9})
	checkCall(t, s, "after a registration of the same start", start, "a", comfreyreplica.PurposeWork, comfreyreplica.ErrLeaving)
	s.Update(start, comfreyreplica.Registration{ID: "a", Service: "app", Address: "a", StartMillis: 8})
	checkCall(t, s, "a later start", start, "a", comfreyreplica.PurposeWork, nil)
	checkCall(t, s, "an unknown replica", start, "x", comfreyreplica.PurposeWork, comfreyreplica.ErrLeaving)
}

// TestPauseIsLostWhenStartBecomesKnown guards against a paused replica that is called
// once the store names its start, or once it is listed again.
func TestPauseIsLostWhenStartBecomesKnown(t *testing.T) {
	s := comfreyreplica.NewSet(comfreyreplica.Config{})
	register := func(startMillis int64) {
		s.Update(start, comfreyreplica.Registration{ID: "a", Service: "app", Address: "a", StartMillis: startMillis})
	}
	later := start.Add(time.Second)
	register(0)
	s.Pause(start, "a", 3*time.Second, 0)
	register(7)
	checkCall(t, s, "start known", later, "a", comfreyreplica.PurposeWork, comfreyreplica.ErrPaused)
	if _, ok := s.PauseEnd(later, "app"); !ok {
		t.Error("start known: expected a service whose only replica is paused")
	}
	register(0)
	checkCall(t, s, "start missing", later, "a", comfreyreplica.PurposeWork, comfreyreplica.ErrPaused)
	s.Remove(later, "a")
	register(7)
	checkCall(t, s, "listed again", later, "a", comfreyreplica.PurposeWork, comfreyreplica.ErrPaused)
	register(8)
	checkCall(t, s, "later start", later, "a", comfreyreplica.PurposeWork, nil)
}

// TestPauseOfReplicaOutsideTheSetIsLost guards against a replica that refuses while it
// is not listed, and is called as soon as it is.
func TestPauseOfReplicaOutsideTheSetIsLost(t *testing.T) {
	s := comfreyreplica.NewSet(comfreyreplica.Config{})
	if _, ok := s.Pause(start, "a", 3*time.Second, 0); !ok {
		t.Fatal("expected a pause of a replica that is not listed")
	}
	later := start.Add(time.Second)
	checkCall(t, s, "not listed", later, "a", comfreyreplica.PurposeControl, comfreyreplica.ErrPaused)
	s.Update(later, comfreyreplica.Registration{ID: "a", Service: "app", Address: "a", StartMillis: 7})
	checkCall(t, s, "listed", later, "a", comfreyreplica.PurposeWork, comfreyreplica.ErrPaused)
	checkCall(t, s, "after the pause", start.Add(4*time.Second), "a", comfreyreplica.PurposeWork, nil)
	s.Pause(start, "gone", time.Second, 0)
	s.Expire(start.Add(time.Minute))
	checkCall(t, s, "forgotten", start, "gone", comfreyreplica.PurposeControl, nil)
}
