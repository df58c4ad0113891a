// Package comfreyratelimit divides the rates of requests that replicas take among
// the gateways of a fleet. It makes no calls and reads no clock.
//
// It is built for this load: a replica in need takes a few requests a second from
// all gateways together, while dozens of them have callers for it, or only one, and
// the gateways do not agree on which of them run. Shares of equal size would leave
// most of the rate unused, and shares by each gateway's view of the others would
// add up to more. So one gateway, the holder, permits each request; the others ask
// it. The gateways name the holder that they ask, and a holder permits only the part
// of a rate for which it is named: two that both take themselves for the holder
// share the rate by the gateways that name them. There is no election and no shared
// state. What is lost with a holder is a second's worth of requests and the bookings.
package comfreyratelimit

import (
	"time"

	"comfreyridge.example/comfreyridge/comfreyreplica"
)

// MaxWait bounds the time after which a replica is said to have room.
const MaxWait = 10 * time.Second

// Offer is a replica to which a request can be sent.
type Offer struct {
	Start comfreyreplica.Start
	// PerSecond is the rate that the replica takes from all gateways together, in
	// requests a second, and Age the time since a gateway was told so.
	PerSecond float64
	Age       time.Duration
	// IsWarmUp means that the configuration limits the replica because it is cold,
	// not the replica itself.
	IsWarmUp bool
}

// Request asks for a permit.
type Request struct {
	Service string
	// Offers are in order of preference.
	Offers []Offer
	// Key is the same for a request that is sent again. It allows the request to be
	// booked if there is no room; it is optional.
	Key string
	// MaxWait is how long its caller would wait before it sends it again.
	MaxWait time.Duration
	// IsUrgent requests come before others, in small numbers.
	IsUrgent bool
}

// Reply is the answer to a Request.
type Reply struct {
	// Replica is the one to which the request may be sent now; empty if there is no
	// room anywhere.
	Replica string
	// Wait is the time after which there is expected to be room.
	Wait time.Duration
	// IsBooked means that the request is permitted after that time.
	IsBooked bool
}

// Allocator permits requests to replicas, at the rates that these take. It is not
// safe for concurrent use.
type Allocator struct {
	buckets map[string]*bucket
}

// NewAllocator returns an Allocator that has permitted nothing.
func NewAllocator() *Allocator {
	return &Allocator{buckets: map[string]*bucket{}}
}

// Allocate permits a request or tells when to send it again. The share, from 0 to 1,
// is the part of each rate that this allocator gives out.
func (a *Allocator) Allocate(now time.Time, r Request, share float64) Reply {
	l := make([]*bucket, len(r.Offers))
	for i, o := range r.Offers {
		l[i] = a.bucket(now, o, share)
	}
	if id, ok := a.takeBooked(now, r.Key); ok {
		return Reply{Replica: id}
	}
	for i, b := range l {
		if b.take(now, r.IsUrgent) {
			return Reply{Replica: r.Offers[i].Start.ID}
		}
	}
	p := Reply{Wait: MaxWait}
	isBooking := r.Key != "" && r.MaxWait > 0
	var first *bucket
	for _, b := range l {
		if w := b.wait(now, isBooking); first == nil || w < p.Wait {
			first, p.Wait = b, w
		}
	}
	if first != nil && isBooking && p.Wait <= r.MaxWait {
		p.IsBooked = first.book(now, r.Key, p.Wait)
	}
	return p
}

// takeBooked permits a request that has a booking which is due, at any replica: the
// gateway to which its caller returns may not know of the same limits as the first.
func (a *Allocator) takeBooked(now time.Time, k string) (replica string, ok bool) {
	if k == "" {
		return "", false
	}
	for id, b := range a.buckets {
		if b.takeBooked(now, k) {
			return id, true
		}
	}
	return "", false
}

// bucket returns the bucket of a replica, at its present rate. A new one is empty,
// because other holders may just have permitted requests, and the replica has just
// served some. A later start of the replica has a bucket of its own.
func (a *Allocator) bucket(now time.Time, o Offer, share float64) *bucket {
	b := a.buckets[o.Start.ID]
	if b == nil || o.Start.StartMillis > b.startMillis && b.startMillis != 0 {
		b = &bucket{updatedAt: now}
		a.buckets[o.Start.ID] = b
	}
	b.startMillis = max(b.startMillis, o.Start.StartMillis)
	b.advance(now, o.PerSecond*share)
	return b
}

// Expire drops what is kept of replicas to which no request was sent for a minute.
// The caller calls it about once a second.
func (a *Allocator) Expire(now time.Time) {
	for id, b := range a.buckets {
		if now.Sub(b.updatedAt) > bucketRetention {
			delete(a.buckets, id)
		}
	}
}

// bucketRetention is how long a bucket is kept without requests.
const bucketRetention = time.Minute
