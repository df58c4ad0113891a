package comfreyreplica

import (
	"cmp"
	"iter"
	"slices"
)

// serviceIndex holds the replicas of each service, sorted by id.
//
// It is built for this load: a gateway has thousands of replicas in its set, most of them
// used by other gateways, and looks at those of a service several times for each request,
// while hundreds of requests return at once after a restart.
type serviceIndex map[string][]*Replica

func compareID(r *Replica, id string) int {
	return cmp.Compare(r.ID, id)
}

// put adds a replica, or replaces the one with its id.
func (x serviceIndex) put(r Replica) {
	l := x[r.Service]
	i, ok := slices.BinarySearchFunc(l, r.ID, compareID)
	if ok {
		l[i] = &r
		return
	}
	x[r.Service] = slices.Insert(l, i, &r)
}

// remove removes the replica of a service with an id.
func (x serviceIndex) remove(service, id string) {
	l := x[service]
	i, ok := slices.BinarySearchFunc(l, id, compareID)
	switch {
	case !ok:
	case len(l) == 1:
		delete(x, service)
	default:
		x[service] = slices.Delete(l, i, i+1)
	}
}

// put stores a replica under its id.
func (s *Set) put(r Replica) {
	if old, ok := s.replicas[r.ID]; ok && old.Service != r.Service {
		s.services.remove(old.Service, r.ID)
	}
	s.replicas[r.ID] = r
	s.services.put(r)
}

// drop removes a replica.
func (s *Set) drop(r Replica) {
	delete(s.replicas, r.ID)
	s.services.remove(r.Service, r.ID)
}

// InService iterates over the replicas of a service, sorted by id. The set must not be
// changed meanwhile.
func (s *Set) InService(name string) iter.Seq[Replica] {
	return func(yield func(r Replica) bool) {
		for _, r := range s.services[name] {
			if !yield(*r) {
				return
			}
		}
	}
}
