package comfreyreplica_test

import (
	"errors"
	"testing"

	"comfreyridge.example/comfreyridge/comfreyreplica"
)

// TestRequestThatNoReplicaMayServe checks evacuations and homes of which none is left,
// and a service without replicas, for which requests may wait.
func TestRequestThatNoReplicaMayServe(t *testing.T) {
	anywhere := func(comfreyreplica.Replica) bool { return true }
	south := func(r comfreyreplica.Replica) bool { return r.DataCentre == "south" }
	for _, c := range []struct {
		name, service string
		evacuated     []string
		isHome        func(comfreyreplica.Replica) bool
		want          error
	}{
		{"all", "app", nil, anywhere, nil},
		{"one evacuated", "app", []string{"north"}, anywhere, nil},
		{"both evacuated", "app", []string{"north", "south"}, anywhere, comfreyreplica.ErrEvacuated},
		{"home evacuated", "app", []string{"south"}, south, comfreyreplica.ErrEvacuated},
		{"no home", "app", nil, func(comfreyreplica.Replica) bool { return false }, comfreyreplica.ErrNoHome},
		{"no replicas", "other", []string{"north", "south"}, anywhere, nil},
	} {
		s := newEvacuationSet("north", "south")
		for _, d := range c.evacuated {
			s.Evacuate(start, d)
		}
		if err := s.CheckServable(c.service, c.isHome); !errors.Is(err, c.want) {
			t.Errorf("%s: expected %v, got %v", c.name, c.want, err)
		}
	}
}
