package comfreyreplica_test

import (
	"testing"
	"time"

	"comfreyridge.example/comfreyridge/comfreyreplica"
)

// checkRateLimit checks a replica's limit; zero means none.
func checkRateLimit(t *testing.T, s *comfreyreplica.Set, what, id string, want float64) {
	t.Helper()
	if got, ok := s.RateLimit(id); got.PerSecond != want || ok != (want > 0) {
		t.Errorf("%s: expected a limit of %v, got %v, %v", what, want, got.PerSecond, ok)
	}
}

// TestRateLimitFollowsTheLatestResponse checks that a limit rises, falls and ends
// with the latest response, whichever process received it.
func TestRateLimitFollowsTheLatestResponse(t *testing.T) {
	s := newAccessSet("a")
	at := func(d time.Duration) time.Time { return start.Add(d) }
	if s.MergeRateLimit(s.EndedRateLimit(start, "a")) {
		t.Error("expected no change by a response without a limit")
	}
	s.MergeRateLimit(s.NamedRateLimit(at(2*time.Second), "a", 3.5))
	checkRateLimit(t, s, "named", "a", 3.5)
	s.MergeRateLimit(s.NamedRateLimit(at(time.Second), "a", 9))
	checkRateLimit(t, s, "after an earlier response", "a", 3.5)
	s.MergeRateLimit(s.NamedRateLimit(at(3*time.Second), "a", 2))
	checkRateLimit(t, s, "lowered", "a", 2)
	if !s.MergeRateLimit(s.EndedRateLimit(at(4*time.Second), "a")) {
		t.Error("expected a change by a response without a limit")
	}
	checkRateLimit(t, s, "ended", "a", 0)
	s.MergeRateLimit(s.NamedRateLimit(at(3*time.Second), "a", 2))
	checkRateLimit(t, s, "ended, after an earlier response", "a", 0)
	checkRateLimit(t, s, "another replica", "b", 0)
}

// TestRateLimitEndsWithTheStart checks that a limit belongs to one start of its
// replica, also if it was named before that start was known or listed.
func TestRateLimitEndsWithTheStart(t *testing.T) {
	s := comfreyreplica.NewSet(comfreyreplica.Config{})
	register := func(startMillis int64) {
		s.Update(start, comfreyreplica.Registration{ID: "a", Service: "app", StartMillis: startMillis})
	}
	s.MergeRateLimit(s.NamedRateLimit(start, "a", 4))
	checkRateLimit(t, s, "not listed", "a", 4)
	register(0)
	checkRateLimit(t, s, "unknown start", "a", 4)
	register(7)
	checkRateLimit(t, s, "known start", "a", 4)
	s.Expire(start)
	register(8)
	checkRateLimit(t, s, "later start", "a", 0)
	s.MergeRateLimit(comfreyreplica.RateLimit{Start: comfreyreplica.Start{ID: "a", StartMillis: 7}, PerSecond: 4, ObservedAt: start.Add(time.Second)})
	checkRateLimit(t, s, "news of the earlier start", "a", 0)
	s.MergeRateLimit(s.NamedRateLimit(start.Add(2*time.Second), "a", 5))
	s.MergeRateLimit(comfreyreplica.RateLimit{Start: comfreyreplica.Start{ID: "a", StartMillis: 7}, ObservedAt: start.Add(3 * time.Second)})
	checkRateLimit(t, s, "end of the earlier start's limit", "a", 5)
}

// TestRateLimitOfExtremeValue checks the effect of values that no replica is
// believed.
func TestRateLimitOfExtremeValue(t *testing.T) {
	for value, want := range map[float64]float64{0: 0.1, 0.0001: 0.1, 0.1: 0.1, 250.5: 250.5, 1e6: 0, 1e300: 0} {
		s := newAccessSet("a")
		s.MergeRateLimit(s.NamedRateLimit(start, "a", value))
		checkRateLimit(t, s, "named", "a", want)
	}
}

// TestRateLimitsAreForgotten checks how long limits are kept that have ended or
// whose replicas are gone.
func TestRateLimitsAreForgotten(t *testing.T) {
	s := newAccessSet("a")
	s.MergeRateLimit(s.NamedRateLimit(start, "a", 3))
	s.MergeRateLimit(s.NamedRateLimit(start, "gone", 3))
	s.Expire(start.Add(30 * time.Second))
	checkRateLimit(t, s, "listed again within a minute", "gone", 3)
	s.Expire(start.Add(2 * time.Minute))
	checkRateLimit(t, s, "gone", "gone", 0)
	checkRateLimit(t, s, "listed", "a", 3)
	s.MergeRateLimit(s.EndedRateLimit(start.Add(3*time.Minute), "a"))
	if n := len(s.RateLimits()); n != 1 {
		t.Errorf("expected the end of the limit to be told to others, got %d", n)
	}
	s.Expire(start.Add(4 * time.Minute))
	if n := len(s.RateLimits()); n != 0 {
		t.Errorf("expected no limits, got %d", n)
	}
}
