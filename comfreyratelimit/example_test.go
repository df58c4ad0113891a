package comfreyratelimit_test

import (
	"fmt"
	"time"

	"comfreyridge.example/comfreyridge/comfreyratelimit"
	"comfreyridge.example/comfreyridge/comfreyreplica"
)

func ExampleAllocator() {
	now := time.Date(2026, 12, 4, 8, 0, 0, 0, time.UTC)
	a := comfreyratelimit.NewAllocator()
	r := comfreyratelimit.Request{
		Service: "bookings", Key: "request of a caller", MaxWait: time.Second,
		Offers: []comfreyratelimit.Offer{{Start: comfreyreplica.Start{ID: "i-1"}, PerSecond: 2}},
	}
	p := a.Allocate(now, r, 1)
	fmt.Printf("%q, after %v, booked %v\n", p.Replica, p.Wait, p.IsBooked)
	p = a.Allocate(now.Add(p.Wait), r, 1)
	fmt.Printf("%q\n", p.Replica)
	// Output:
	// "", after 500ms, booked true
	// "i-1"
}
