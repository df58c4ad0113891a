package comfreyratelimit_test

import (
	"fmt"
	"testing"
	"time"

	"comfreyridge.example/comfreyridge/comfreyratelimit"
	"comfreyridge.example/comfreyridge/comfreyreplica"
)

var start = time.Date(2026, 12, 4, 8, 0, 0, 0, time.UTC)

// offers returns offers of replicas that take the same rate.
func offers(perSecond float64, ids ...string) []comfreyratelimit.Offer {
	var l []comfreyratelimit.Offer
	for _, id := range ids {
		l = append(l, comfreyratelimit.Offer{Start: comfreyreplica.Start{ID: id, StartMillis: 7}, PerSecond: perSecond})
	}
	return l
}

// take counts the permits among requests that come every 10 ms.
func take(a *comfreyratelimit.Allocator, from, to time.Time, o []comfreyratelimit.Offer, share float64) int {
	n := 0
	for now := from; now.Before(to); now = now.Add(10 * time.Millisecond) {
		if a.Allocate(now, comfreyratelimit.Request{Offers: o}, share).Replica != "" {
			n++
		}
	}
	return n
}

// TestRateIsUsedAndNotExceeded checks the number of permits at rates from far below
// one a second up, for a share of the rate, and for several replicas.
func TestRateIsUsedAndNotExceeded(t *testing.T) {
	for _, c := range []struct {
		perSecond, share float64
		replicas         []string
	}{
		{0.1, 1, []string{"a"}}, {3.4, 1, []string{"a"}}, {3.4, 0.25, []string{"a"}}, {40, 1, []string{"a"}}, {2, 1, []string{"a", "b", "c"}},
	} {
		a := comfreyratelimit.NewAllocator()
		want := c.perSecond * c.share * 30 * float64(len(c.replicas))
		got := take(a, start, start.Add(30*time.Second), offers(c.perSecond, c.replicas...), c.share)
		if float64(got) < want*0.95-1 || float64(got) > want+1 {
			t.Errorf("rate %v, share %v, %d replicas: expected %.1f permits in 30 s, got %d", c.perSecond, c.share, len(c.replicas), want, got)
		}
	}
}

// TestUnusedRateIsNotSavedUp checks that few requests are permitted at once after a
// time without any.
func TestUnusedRateIsNotSavedUp(t *testing.T) {
	a := comfreyratelimit.NewAllocator()
	take(a, start, start.Add(time.Second), offers(4, "a"), 1)
	later := start.Add(30 * time.Second)
	if n := take(a, later, later.Add(20*time.Millisecond), offers(4, "a"), 1); n > 2 {
		t.Errorf("expected at most 2 permits at once, got %d", n)
	}
}

// TestChangedRateHoldsAtOnce checks that a rate falls and rises, and that a later
// start of a replica has a rate of its own.
func TestChangedRateHoldsAtOnce(t *testing.T) {
	a := comfreyratelimit.NewAllocator()
	at := func(s int) time.Time { return start.Add(time.Duration(s) * time.Second) }
	for i, perSecond := range []float64{20, 1, 10} {
		got := take(a, at(4*i), at(4*i+4), offers(perSecond, "a"), 1)
		if want := 4 * perSecond; float64(got) > want+6 || float64(got) < 0.8*want {
			t.Errorf("rate %v: expected about %v permits in 4 s, got %d", perSecond, want, got)
		}
	}
	later := offers(10, "a")
	later[0].Start.StartMillis = 8
	if p := a.Allocate(at(12), comfreyratelimit.Request{Offers: later}, 1); p.Replica != "" {
		t.Error("expected no permit at once for a later start")
	}
}

// TestBookedRequestIsPermittedWhenItReturns checks that requests which return after
// the time they were told are permitted, beside many others that come meanwhile, also
// if the gateway to which they return offers another replica.
func TestBookedRequestIsPermittedWhenItReturns(t *testing.T) {
	a := comfreyratelimit.NewAllocator()
	due := map[time.Time]string{}
	booked, permitted, first := 0, 0, 0
	for i := range 2000 {
		now := start.Add(time.Duration(i) * 10 * time.Millisecond)
		if k, ok := due[now]; ok {
			if a.Allocate(now, comfreyratelimit.Request{Offers: offers(3, "b"), Key: k, MaxWait: time.Second}, 1).Replica != "" {
				permitted++
			}
		}
		k := fmt.Sprint(i)
		switch p := a.Allocate(now, comfreyratelimit.Request{Offers: offers(3, "a"), Key: k, MaxWait: time.Second}, 1); {
		case p.Replica != "":
			first++
		case p.IsBooked:
			at := now.Add(p.Wait).Truncate(10 * time.Millisecond).Add(10 * time.Millisecond)
			if _, ok := due[at]; !ok && at.Before(start.Add(20*time.Second)) {
				due[at] = k
				booked++
			}
		}
	}
	if booked < 20 || permitted != booked {
		t.Errorf("expected at least 20 booked requests, all permitted when they return, got %d of %d", permitted, booked)
	}
	if first < 20 {
		t.Errorf("expected at least 20 permits for requests that come for the first time, got %d", first)
	}
}

// TestUnusedBookingIsGivenToOthers checks that callers who do not return cost little
// of the rate.
func TestUnusedBookingIsGivenToOthers(t *testing.T) {
	a := comfreyratelimit.NewAllocator()
	n := 0
	for i := range 3000 {
		r := comfreyratelimit.Request{Offers: offers(4, "a"), Key: fmt.Sprint(i), MaxWait: time.Second}
		if a.Allocate(start.Add(time.Duration(i)*10*time.Millisecond), r, 1).Replica != "" {
			n++
		}
	}
	if n < 80 || n > 121 {
		t.Errorf("expected most of 120 permits in 30 s, got %d", n)
	}
}

// TestRequestThatCannotWaitIsNotBooked checks that no place is kept for a caller who
// would not wait for it.
func TestRequestThatCannotWaitIsNotBooked(t *testing.T) {
	a := comfreyratelimit.NewAllocator()
	r := comfreyratelimit.Request{Offers: offers(0.5, "a"), Key: "k", MaxWait: time.Second}
	if p := a.Allocate(start, r, 1); p.Replica != "" || p.IsBooked || p.Wait < 1900*time.Millisecond {
		t.Errorf("expected a wait of 2 s and no booking, got %+v", p)
	}
	if p := a.Allocate(start, r, 0); p.IsBooked || p.Wait != comfreyratelimit.MaxWait {
		t.Errorf("expected the longest wait without a part in the rate, got %+v", p)
	}
}

// TestUrgentRequestComesFirst checks that an urgent request does not wait for those
// with bookings, and that few of them do.
func TestUrgentRequestComesFirst(t *testing.T) {
	a := comfreyratelimit.NewAllocator()
	take(a, start, start.Add(2*time.Second), offers(2, "a"), 1)
	n := 0
	for range 10 {
		if a.Allocate(start.Add(2*time.Second), comfreyratelimit.Request{Offers: offers(2, "a"), IsUrgent: true}, 1).Replica != "" {
			n++
		}
	}
	if n < 1 || n > 2 {
		t.Errorf("expected 1 or 2 urgent permits at once, got %d", n)
	}
}
