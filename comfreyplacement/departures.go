package comfreyplacement

import "time"

const (
	// departurePeriod is how far apart replicas can begin to leave that leave at once.
	departurePeriod = time.Second
	// departureMemory is how long the number of replicas that left at once is kept.
	departureMemory = 15 * time.Second
	// maxDepartureShare bounds the part of the memory that is kept free for them.
	maxDepartureShare = 0.25
)

// Departures tracks how many replicas of a service leave at once. The zero value has
// seen none. It is not safe for concurrent use.
type Departures struct {
	events []departure
}

// departure is some replicas that began to leave at the same time.
type departure struct {
	at    time.Time
	share float64
}

// Observe records that a replica begins to leave, of a number that accept work, itself
// included.
func (d *Departures) Observe(now time.Time, accepting int) {
	share := 1 / float64(max(accepting, 1))
	if n := len(d.events); n > 0 && now.Sub(d.events[n-1].at) < departurePeriod {
		d.events[n-1].share += share
		return
	}
	d.expire(now)
	d.events = append(d.events, departure{now, share})
}

// Share returns the part of a service's memory, from 0 to 1, that has to be free for
// the generations of the next replicas that leave at once.
func (d *Departures) Share(now time.Time) float64 {
	d.expire(now)
	most := 0.0
	for _, e := range d.events {
		most = max(most, e.share)
	}
	return min(most, maxDepartureShare)
}

func (d *Departures) expire(now time.Time) {
	for len(d.events) > 0 && now.Sub(d.events[0].at) > departureMemory {
		d.events = d.events[1:]
	}
}
