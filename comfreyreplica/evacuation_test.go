package comfreyreplica_test

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"comfreyridge.example/comfreyridge/comfreyreplica"
)

// newEvacuationSet returns a set with a replica in each of some data centres, whose id
// is the name of the data centre.
func newEvacuationSet(dataCentres ...string) *comfreyreplica.Set {
	s := comfreyreplica.NewSet(comfreyreplica.Config{EvacuationPeriod: 5 * time.Second})
	s.SetWarmUps(map[string]comfreyreplica.WarmUp{"app": {Duration: time.Second, PerSecond: 30}})
	for _, d := range dataCentres {
		s.Update(start, comfreyreplica.Registration{ID: d, Service: "app", Address: "10.0.0.1:1", DataCentre: d, StartMillis: 1})
	}
	return s
}

func ExampleSet_Evacuate() {
	s := newEvacuationSet("north", "south")
	s.Evacuate(start, "north")
	fmt.Println(s.MayCall(start, "north", comfreyreplica.PurposeWork) != nil, s.MayCall(start, "south", comfreyreplica.PurposeWork) != nil)
	s.EndEvacuation(start.Add(8*time.Second), "north")
	r, _ := s.Get("north")
	fmt.Println(s.Accepts(r), r.WarmAt.Sub(start))
	// Output:
	// true false
	// true 9s
}

// TestNothingIsSentToAnEvacuatedDataCentre checks every kind of call: work at once,
// and those that move generations away before the bound of 5 s, with time for the news
// of the evacuation to arrive.
func TestNothingIsSentToAnEvacuatedDataCentre(t *testing.T) {
	s := newEvacuationSet("north", "south")
	s.Evacuate(start, "north")
	for _, c := range []struct {
		purpose comfreyreplica.Purpose
		after   time.Duration
		want    error
	}{
		{comfreyreplica.PurposeWork, 0, comfreyreplica.ErrEvacuated},
		{comfreyreplica.PurposeResume, 2 * time.Second, nil},
		{comfreyreplica.PurposeControl, 2 * time.Second, nil},
		{comfreyreplica.PurposeResume, 3 * time.Second, comfreyreplica.ErrEvacuated},
		{comfreyreplica.PurposeControl, 3 * time.Second, comfreyreplica.ErrEvacuated},
		{comfreyreplica.PurposeWork, time.Hour, comfreyreplica.ErrEvacuated},
	} {
		s.Expire(start.Add(c.after))
		if err := s.MayCall(start.Add(c.after), "north", c.purpose); !errors.Is(err, c.want) {
			t.Errorf("purpose %v after %v: expected %v, got %v", c.purpose, c.after, c.want, err)
		}
		if err := s.MayCall(start.Add(c.after), "south", c.purpose); err != nil {
			t.Errorf("purpose %v in another data centre: expected no error, got %v", c.purpose, err)
		}
	}
	if s.CanPlace(start, "north") {
		t.Error("expected no placement in an evacuated data centre")
	}
}

// TestEvacuationsOfTwoDataCentresAreApart evacuates two data centres in turn, one of
// them twice, and takes one back within a second.
func TestEvacuationsOfTwoDataCentresAreApart(t *testing.T) {
	s := newEvacuationSet("north", "south")
	at := func(d time.Duration) time.Time { return start.Add(d) }
	if !s.Evacuate(at(0), "north") || s.Evacuate(at(4*time.Second), "north") {
		t.Error("expected the first of two orders to be new")
	}
	if err := s.MayCall(at(4*time.Second), "north", comfreyreplica.PurposeControl); !errors.Is(err, comfreyreplica.ErrEvacuated) {
		t.Error("expected a repeated order not to lengthen the period of the first")
	}
	s.Evacuate(at(4*time.Second), "south")
	if err := s.MayCall(at(4*time.Second), "south", comfreyreplica.PurposeControl); err != nil {
		t.Errorf("expected a period of its own, got %v", err)
	}
	if !s.EndEvacuation(at(4500*time.Millisecond), "south") || s.EndEvacuation(at(4500*time.Millisecond), "south") {
		t.Error("expected the evacuation to end once")
	}
	if !s.IsEvacuated("north") || s.IsEvacuated("south") {
		t.Error("expected only the first data centre to be evacuated")
	}
	s.EndEvacuation(at(5*time.Second), "north")
	s.Evacuate(at(6*time.Second), "north")
	if err := s.MayCall(at(8*time.Second), "north", comfreyreplica.PurposeControl); err != nil {
		t.Errorf("expected a period of its own for a second evacuation, got %v", err)
	}
}

// TestReplicaThatStartsInAnEvacuatedDataCentre guards against using it, and against
// using one that becomes ready again in the store.
func TestReplicaThatStartsInAnEvacuatedDataCentre(t *testing.T) {
	s := newEvacuationSet("north")
	s.Evacuate(start, "north")
	for _, id := range []string{"north", "new"} {
		s.Update(start.Add(time.Second), comfreyreplica.Registration{ID: id, Service: "app", Address: "10.0.0.2:1", DataCentre: "north", StartMillis: 9})
		if s.CanPlace(start.Add(time.Second), id) {
			t.Errorf("expected no placement at %s", id)
		}
	}
}

// TestEvacuationOutlivesAnOlderCopyOfTheStore restores the store from a copy without
// the evacuation. The operator writes it again within some seconds, or it has ended.
func TestEvacuationOutlivesAnOlderCopyOfTheStore(t *testing.T) {
	for _, isWrittenAgain := range []bool{true, false} {
		s := newEvacuationSet("north")
		s.Evacuate(start, "north")
		s.EndRestoredEvacuation(start.Add(time.Second), "north")
		s.Expire(start.Add(2 * time.Second))
		if !s.IsEvacuated("north") {
			t.Error("expected the evacuation to hold until the operator can have written it again")
		}
		if isWrittenAgain {
			s.Evacuate(start.Add(3*time.Second), "north")
		}
		s.Expire(start.Add(6 * time.Second))
		if s.IsEvacuated("north") != isWrittenAgain {
			t.Errorf("written again: %v: expected the same of the evacuation, got the opposite", isWrittenAgain)
		}
	}
}

// TestMoveAwayEndsWithTheReplicaOrThePeriod checks until when generations are moved
// from replicas that leave, in an evacuated data centre and elsewhere.
func TestMoveAwayEndsWithTheReplicaOrThePeriod(t *testing.T) {
	s := newEvacuationSet("north", "south")
	until := func(id string) time.Duration {
		r, _ := s.Get(id)
		d, ok := s.MoveAwayUntil(r)
		if !ok {
			return 0
		}
		return d.Sub(start)
	}
	if got := until("north"); got != 0 {
		t.Errorf("expected no move, got one until %v", got)
	}
	s.Evacuate(start, "north")
	if got := until("north"); got != 2500*time.Millisecond {
		t.Errorf("expected half of 5 s, got %v", got)
	}
	s.MarkLeaving(start, "north", time.Second)
	s.MarkLeaving(start, "south", 4*time.Second)
	if a, b := until("north"), until("south"); a != time.Second || b != 4*time.Second {
		t.Errorf("expected 1s and 4s, got %v and %v", a, b)
	}
}
