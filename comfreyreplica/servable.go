package comfreyreplica

import "errors"

// ErrNoHome means that a request may not be served where the replicas of its service are.
var ErrNoHome = errors.New("comfreyreplica: expected a replica in a home of the request, got none")

// CheckServable returns nil if a replica of a service may serve a request now or later, or
// if none accepts new work. It returns ErrEvacuated if all those that are in a home of the
// request are in evacuated data centres, and ErrNoHome if none is in a home.
//
// It is built for this load: the last data centre of a service is evacuated, or one
// customer may be served in a region without replicas, while others are served. Their
// requests would wait in vain.
func (s *Set) CheckServable(service string, isHome func(r Replica) bool) error {
	var err error
	for _, r := range s.replicas {
		switch {
		case r.Service != service || !r.IsAccepting():
		case !isHome(r):
			if err == nil {
				err = ErrNoHome
			}
		case s.IsEvacuated(r.DataCentre):
			err = ErrEvacuated
		default:
			return nil
		}
	}
	return err
}
