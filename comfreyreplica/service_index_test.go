package comfreyreplica_test

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"comfreyridge.example/comfreyridge/comfreyreplica"
)

// TestInServiceListsTheSet changes a set at random and compares the replicas of each
// service with those of the whole set.
func TestInServiceListsTheSet(t *testing.T) {
	r := rand.New(rand.NewPCG(1, 1))
	s := comfreyreplica.NewSet(comfreyreplica.Config{})
	services := []string{"app", "llm", "other"}
	now := time.Unix(1_000_000, 0)
	for i := range 5000 {
		now = now.Add(50 * time.Millisecond)
		id := fmt.Sprintf("i-%02d", r.IntN(40))
		switch r.IntN(6) {
		case 0:
			s.Remove(now, id)
		case 1:
			s.Announce(now, id)
		case 2:
			s.ObserveWarmUp(now, id, time.Second)
		case 3:
			s.Expire(now)
		default:
			s.Update(now, comfreyreplica.Registration{ID: id, Service: services[r.IntN(len(services))], StartMillis: int64(r.IntN(3) + i/100)})
		}
		for _, name := range services {
			want := slices.DeleteFunc(s.All(), func(r comfreyreplica.Replica) bool { return r.Service != name })
			slices.SortFunc(want, func(a, b comfreyreplica.Replica) int { return cmp.Compare(a.ID, b.ID) })
			if got := slices.Collect(s.InService(name)); !slices.Equal(got, want) {
				t.Fatalf("step %d, service %s: got %v, want %v", i, name, got, want)
			}
		}
	}
	for now = now.Add(time.Hour); len(s.All()) > 0; now = now.Add(time.Hour) {
		for _, x := range s.All() {
			s.Remove(now, x.ID)
		}
		s.Expire(now)
	}
	for _, name := range services {
		if got := s.ByService(name); len(got) > 0 {
			t.Errorf("service %s of an empty set: got %v", name, got)
		}
	}
}
