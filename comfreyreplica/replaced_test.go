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
			if c := s.MarkReplaced(start, "a", "elsewhere"); len(c) > 0 {
				t.Errorf("a response at an address that the replica does not have: got %+v", c)
			}
			if c := s.MarkReplaced(start, "a", "a"); len(c) != 1 || !c[0].Replica.IsReplaced || c[0].Replica.IsAccepting() {
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
