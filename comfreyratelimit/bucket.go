package comfreyratelimit

import (
	"math"
	"slices"
	"time"
)

const (
	// burstPeriod is the time for which unused requests are kept, beside one.
	burstPeriod = 250 * time.Millisecond
	// urgentDebt is how many requests beyond those that are due may be permitted if
	// they are urgent. They are paid back before others.
	urgentDebt = 1
	// bookableShare is the part of a rate that is given to bookings. The rest serves
	// callers who come for the first time.
	bookableShare = 0.5
	// earlyReturn is how much earlier than its time a booking may be used.
	earlyReturn = 50 * time.Millisecond
	// bookingHold is how long after its time a booking is kept. A caller opens a
	// new connection within it.
	bookingHold = 400 * time.Millisecond
	// maxBookings bounds the bookings at a replica.
	maxBookings = 256
)

// booking is a request that its caller will send again.
type booking struct {
	key string
	at  time.Time
}

// bucket counts the requests that may be sent to one start of a replica.
type bucket struct {
	startMillis int64
	// tokens is how many requests may be sent now, and perSecond how many become
	// due.
	tokens, perSecond float64
	updatedAt         time.Time
	// bookings are sorted by time.
	bookings []booking
}

// advance adds the requests that have become due, at the rate so far, and drops
// bookings that were not used.
func (b *bucket) advance(now time.Time, perSecond float64) {
	if d := now.Sub(b.updatedAt).Seconds(); d > 0 {
		b.tokens += b.perSecond * d
		b.updatedAt = now
	}
	b.perSecond = perSecond
	b.bookings = slices.DeleteFunc(b.bookings, func(k booking) bool { return now.Sub(k.at) > bookingHold })
	due := 0
	for _, k := range b.bookings {
		if !k.at.After(now) {
			due++
		}
	}
	b.tokens = min(b.tokens, 1+perSecond*burstPeriod.Seconds()+float64(due))
}

// takeBooked uses the first booking of a key, if it is due.
func (b *bucket) takeBooked(now time.Time, k string) bool {
	i := slices.IndexFunc(b.bookings, func(o booking) bool {
		return o.key == k && !o.at.After(now.Add(earlyReturn)) && now.Sub(o.at) <= bookingHold
	})
	if i < 0 {
		return false
	}
	b.bookings = slices.Delete(b.bookings, i, i+1)
	b.tokens--
	return true
}

// take permits a request without a booking, unless that would delay one with a
// booking. Urgent requests may delay others.
func (b *bucket) take(now time.Time, isUrgent bool) bool {
	if isUrgent && b.tokens >= 1-urgentDebt {
		b.tokens--
		return true
	}
	if b.tokens < 1 {
		return false
	}
	for i, k := range b.bookings {
		if b.tokens-1+b.perSecond*max(k.at.Sub(now).Seconds(), 0) < float64(i+1) {
			return false
		}
	}
	b.tokens--
	return true
}

// wait returns the time until a further request is due, after those with bookings;
// for a booking, at most bookableShare of the rate is given away.
func (b *bucket) wait(now time.Time, isBooking bool) time.Duration {
	if b.perSecond <= 0 {
		return MaxWait
	}
	d := seconds((float64(len(b.bookings)+1) - b.tokens) / b.perSecond)
	if n := len(b.bookings); isBooking && n > 0 {
		d = max(d, b.bookings[n-1].at.Sub(now)+seconds(1/(bookableShare*b.perSecond)))
	}
	return min(max(d, 0), MaxWait)
}

// book adds a booking after a wait.
func (b *bucket) book(now time.Time, k string, wait time.Duration) bool {
	if len(b.bookings) >= maxBookings {
		return false
	}
	b.bookings = append(b.bookings, booking{k, now.Add(wait)})
	return true
}

func seconds(s float64) time.Duration {
	return time.Duration(math.Min(s, MaxWait.Seconds()) * float64(time.Second))
}
