package comfreyreplica_test

import (
	"testing"
	"time"

	"comfreyridge.example/comfreyridge/comfreyreplica"
)

var allPurposes = []comfreyreplica.Purpose{comfreyreplica.PurposeWork, comfreyreplica.PurposeResume, comfreyreplica.PurposeControl}

// TestReplacedReplicaGetsNoCalls guards against calls of any purpose that go on to an
// address at which another replica has responded, which may run them. The replaced one is
// called again once it is listed at another address, or has started again.
func TestReplacedReplicaGetsNoCalls(t *testing.T) {
	for name, prepare := range map[string]func(s *comfreyreplica.Set){
		"ready":            func(*comfreyreplica.Set) {},
		"leaving":          func(s *comfreyreplica.Set) { s.Announce(start, "a") },
		"no longer listed": func(s *comfreyreplica.Set) { s.Remove(start, "a") },
		"lapsed":           func(s *comfreyreplica.Set) { s.PlatformUnreachable(); s.Remove(start, "a") },
	} {
		t.Run(name, func(t *testing.T) {
			s := newAccessSet("a", "b")
			prepare(s)
			called := comfreyreplica.Start{ID: "a", StartMillis: 7}
			if c := s.MarkReplaced(start, called, "elsewhere"); len(c) > 0 {
				t.Errorf("a response at an address that the replica does not have: got %+v", c)
			}
			if c := s.MarkReplaced(start, comfreyreplica.Start{ID: "a", StartMillis: 6}, "a"); len(c) > 0 {
				t.Errorf("a response to a call for an earlier start: got %+v", c)
			}
			if c := s.MarkReplaced(start, called, "a"); len(c) != 1 || !c[0].Replica.IsReplaced || c[0].Replica.IsAccepting() {
				t.Errorf("a response at its address: expected one change to a replaced replica, got %+v", c)
			}
			r, _ := s.Get("a")
			if _, ok := s.MoveAwayUntil(r); ok {
				t.Error("expected no generations to be moved away from a replica that has ended")
			}
			for _, p := range allPurposes {
				checkCall(t, s, "replaced", start, "a", p, comfreyreplica.ErrReplaced)
				checkCall(t, s, "another replica", start, "b", p, nil)
			}
			s.Update(start.Add(time.Second), comfreyreplica.Registration{ID: "a", Service: "app", Address: "elsewhere", StartMillis: 8})
			for _, p := range allPurposes {
				checkCall(t, s, "listed elsewhere", start.Add(time.Second), "a", p, nil)
			}
		})
	}
}

// TestAddressBelongsToReplicaThatStartedLast guards against calls that go on to the former
// owner of an address at which a later replica is listed.
func TestAddressBelongsToReplicaThatStartedLast(t *testing.T) {
	for name, c := range map[string]struct {
		// former and later are when the two started, and laterAddress where the later is.
		former, later int64
		laterAddress  string
		want          error
	}{
		"the former started earlier":     {7, 8, "a", comfreyreplica.ErrReplaced},
		"the listed one started earlier": {8, 7, "a", nil},
		"at the same time":               {7, 7, "a", nil},
		"another address":                {7, 8, "b", nil},
		"the former's start is unknown":  {0, 8, "a", nil},
		"the later's start is unknown":   {7, 0, "a", nil},
	} {
		t.Run(name, func(t *testing.T) {
			s := newAccessSet()
			for _, l := range []comfreyreplica.Registration{
				{ID: "former", Service: "llm", Address: "a", StartMillis: c.former},
				{ID: "later", Service: "app", Address: c.laterAddress, StartMillis: c.later},
			} {
				s.Update(start, l)
				s.TakeAddress(start, l.ID)
			}
			for _, p := range allPurposes {
				checkCall(t, s, "the former owner", start, "former", p, c.want)
				checkCall(t, s, "the later one", start, "later", p, nil)
			}
		})
	}
}

// TestAddressIsTakenTwice checks that each owner of an address takes it from the one
// before, also after that one was dropped, and gets it back after another start.
func TestAddressIsTakenTwice(t *testing.T) {
	s := newAccessSet()
	take := func(now time.Time, id string, started int64) {
		s.Update(now, comfreyreplica.Registration{ID: id, Service: "llm", Address: "a", StartMillis: started})
		s.TakeAddress(now, id)
	}
	take(start, "first", 1)
	take(start, "second", 2)
	take(start, "third", 3)
	checkCall(t, s, "first", start, "first", comfreyreplica.PurposeControl, comfreyreplica.ErrReplaced)
	checkCall(t, s, "second", start, "second", comfreyreplica.PurposeControl, comfreyreplica.ErrReplaced)
	take(start, "first", 4)
	checkCall(t, s, "first, started again", start, "first", comfreyreplica.PurposeWork, nil)
	checkCall(t, s, "third", start, "third", comfreyreplica.PurposeControl, comfreyreplica.ErrReplaced)
	s.Remove(start, "first")
	later := start.Add(time.Hour)
	s.Expire(later)
	take(later, "fourth", 5)
	checkCall(t, s, "fourth", later, "fourth", comfreyreplica.PurposeWork, nil)
}

// TestCopyIsHeldByOneStart checks for how long a start may hold the copy of a KV cache:
// also while it leaves or is not listed, but not after another start, or once another
// replica has its address.
func TestCopyIsHeldByOneStart(t *testing.T) {
	holder := comfreyreplica.Start{ID: "a", StartMillis: 7}
	for name, c := range map[string]struct {
		change func(s *comfreyreplica.Set)
		want   bool
	}{
		"nothing":          {func(*comfreyreplica.Set) {}, true},
		"it leaves":        {func(s *comfreyreplica.Set) { s.Announce(start, "a") }, true},
		"no longer listed": {func(s *comfreyreplica.Set) { s.Remove(start, "a") }, true},
		"started again": {func(s *comfreyreplica.Set) {
			s.Update(start, comfreyreplica.Registration{ID: "a", Service: "app", Address: "a", StartMillis: 8})
		}, false},
		"another at its address": {func(s *comfreyreplica.Set) { s.MarkReplaced(start, holder, "a") }, false},
		"forgotten":              {func(s *comfreyreplica.Set) { s.Remove(start, "a"); s.Expire(start.Add(time.Hour)) }, false},
	} {
		s := newAccessSet("a", "b")
		c.change(s)
		if got := s.IsCurrent(holder); got != c.want {
			t.Errorf("%s: got %t, want %t", name, got, c.want)
		}
	}
}
