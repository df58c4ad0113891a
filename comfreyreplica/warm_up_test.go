package comfreyreplica_test

import (
	"errors"
	"testing"
	"time"

	"comfreyridge.example/comfreyridge/comfreyreplica"
)

func newColdSet(perSecond float64) *comfreyreplica.Set {
	s := comfreyreplica.NewSet(comfreyreplica.Config{})
	s.SetWarmUps(map[string]comfreyreplica.WarmUp{"app": {Duration: time.Second, PerSecond: perSecond}})
	return s
}

func register(s *comfreyreplica.Set, now time.Time, startMillis int64, warmUp time.Duration) {
	s.Update(now, comfreyreplica.Registration{ID: "a", Service: "app", Address: "10.0.0.1:1", StartMillis: startMillis, WarmUpTime: warmUp})
}

func needsPermit(s *comfreyreplica.Set, now time.Time, p comfreyreplica.Purpose) bool {
	return errors.Is(s.MayCall(now, "a", p), comfreyreplica.ErrLimited)
}

// TestColdReplicaNeedsPermits checks that new work for a cold replica needs a permit,
// at the configured rate, until it is warm, and that a generation which resumes there
// is not lost for lack of one.
func TestColdReplicaNeedsPermits(t *testing.T) {
	s := newColdSet(30)
	register(s, start, 1, time.Second)
	if !needsPermit(s, start, comfreyreplica.PurposeWork) || needsPermit(s, start, comfreyreplica.PurposeResume) || needsPermit(s, start, comfreyreplica.PurposeControl) {
		t.Error("expected that only new work needs a permit")
	}
	if l, ok := s.CurrentLimit(start, "a"); !ok || l.PerSecond != 30 || !l.IsWarmUp {
		t.Errorf("expected the configured limit, got %+v", l)
	}
	p := comfreyreplica.Permit{Replica: "a", Until: start.Add(time.Second)}
	if err := s.MayCallWith(start, "a", comfreyreplica.PurposeWork, p); err != nil {
		t.Errorf("expected no error with a permit, got %v", err)
	}
	if needsPermit(s, start.Add(time.Second), comfreyreplica.PurposeWork) {
		t.Error("expected no limit for a warm replica")
	}
	if len(s.RateLimits())+len(s.KnownRateLimits()) > 0 {
		t.Error("expected that a limit which each process knows is not sent to others")
	}
}

// TestReplicaBecomesColdAgain checks a replica that says in the middle of the day that
// it is cold, in the store, in a response, and by a later start. A registration that
// arrives late does not lengthen the time it states.
func TestReplicaBecomesColdAgain(t *testing.T) {
	s := newColdSet(30)
	at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
	register(s, at(0), 1, time.Second)
	register(s, at(500), 1, 900*time.Millisecond)
	if needsPermit(s, at(1100), comfreyreplica.PurposeWork) {
		t.Error("expected a late registration not to lengthen the time")
	}
	register(s, at(5000), 1, time.Second)
	if !needsPermit(s, at(5100), comfreyreplica.PurposeWork) || needsPermit(s, at(6000), comfreyreplica.PurposeWork) {
		t.Error("expected a replica that is cold again until 6 s")
	}
	s.ObserveWarmUp(at(8000), "a", 700*time.Millisecond)
	if !needsPermit(s, at(8600), comfreyreplica.PurposeWork) {
		t.Error("expected a replica that is cold by its response")
	}
	s.ObserveWarmUp(at(8100), "a", 0)
	if needsPermit(s, at(8100), comfreyreplica.PurposeWork) {
		t.Error("expected a replica that is warm by its response")
	}
	register(s, at(9000), 2, time.Second)
	if !needsPermit(s, at(9900), comfreyreplica.PurposeWork) {
		t.Error("expected a later start to be cold")
	}
}

// TestWithoutABoundColdReplicasNeedNoPermit guards against changing deployments whose
// configuration has no such bound.
func TestWithoutABoundColdReplicasNeedNoPermit(t *testing.T) {
	s := newColdSet(0)
	register(s, start, 1, time.Second)
	if needsPermit(s, start, comfreyreplica.PurposeWork) || len(s.LimitedServices()) > 0 {
		t.Error("expected no limit without a configured rate")
	}
}

// TestNamedLimitOfAColdReplica checks that the lower limit counts.
func TestNamedLimitOfAColdReplica(t *testing.T) {
	s := newColdSet(30)
	register(s, start, 1, time.Second)
	s.MergeRateLimit(s.NamedRateLimit(start, "a", 4))
	if l, _ := s.CurrentLimit(start, "a"); l.PerSecond != 4 || l.IsWarmUp {
		t.Errorf("expected the named limit of 4, got %+v", l)
	}
	s.MergeRateLimit(s.NamedRateLimit(start.Add(time.Millisecond), "a", 90))
	if l, _ := s.CurrentLimit(start, "a"); l.PerSecond != 30 || !l.IsWarmUp {
		t.Errorf("expected the configured limit of 30, got %+v", l)
	}
	if !needsPermit(s, start, comfreyreplica.PurposeControl) {
		t.Error("expected that a named limit counts every call")
	}
}

// TestFullColdReplicaIsNotChosen guards against asking for a permit with each request
// while there is none.
func TestFullColdReplicaIsNotChosen(t *testing.T) {
	s := newColdSet(30)
	register(s, start, 1, time.Second)
	if !s.CanPlace(start, "a") {
		t.Error("expected that a cold replica can be chosen")
	}
	s.SetFull("a", start.Add(50*time.Millisecond))
	if s.CanPlace(start, "a") || !s.CanPlace(start.Add(50*time.Millisecond), "a") {
		t.Error("expected no choice until there is room")
	}
}

// TestReplicaIsColdAfterItsConnectionsBroke checks a process that is cut from the store,
// before a replica that goes down and comes back under the same id.
func TestReplicaIsColdAfterItsConnectionsBroke(t *testing.T) {
	s := newColdSet(30)
	register(s, start, 1, 0)
	s.ObserveConnectionLost(start.Add(5*time.Second), "a")
	if !needsPermit(s, start.Add(5900*time.Millisecond), comfreyreplica.PurposeWork) || needsPermit(s, start.Add(6*time.Second), comfreyreplica.PurposeWork) {
		t.Error("expected a cold replica for the time of a cold start")
	}
	s = newColdSet(0)
	register(s, start, 1, 0)
	s.ObserveConnectionLost(start, "a")
	if r, _ := s.Get("a"); r.WarmAt.After(start) {
		t.Error("expected no change without a configured rate")
	}
}

// TestAbsurdWarmUpIsBounded guards against a replica that takes a limited rate for ever
// because its registration states an absurd time.
func TestAbsurdWarmUpIsBounded(t *testing.T) {
	s := newColdSet(30)
	register(s, start, 1, 1000*time.Hour)
	if needsPermit(s, start.Add(2*time.Minute), comfreyreplica.PurposeWork) {
		t.Error("expected a warm replica after two minutes")
	}
}
