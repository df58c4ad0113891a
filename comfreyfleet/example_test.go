package comfreyfleet_test

import (
	"fmt"
	"time"

	"comfreyridge.example/comfreyridge/comfreyfleet"
)

func ExampleTracker() {
	now := time.Unix(1000, 0)
	t := comfreyfleet.NewTracker(comfreyfleet.TrackerConfig{})
	t.Update(comfreyfleet.NewView(1, now, []comfreyfleet.Member{
		{Host: "a", Service: "templates"},
		{Host: "b", Service: "templates"},
	}))
	i := comfreyfleet.NewIncarnation(now, 1)
	t.Observe(now, "a", comfreyfleet.Status{Incarnation: i})
	for _, m := range t.Candidates(now, "templates") {
		fmt.Println(m.Host)
	}

	i = comfreyfleet.NewIncarnation(now.Add(time.Minute), 2)
	t.Observe(now, "a", comfreyfleet.Status{Incarnation: i, Accepting: true})
	fmt.Println(len(t.Candidates(now, "templates")))
	// Output:
	// b
	// 2
}

func ExampleLease() {
	now := time.Unix(1000, 0)
	l := comfreyfleet.NewLease(comfreyfleet.LeaseConfig{Duration: 3 * time.Second, MaxPause: time.Second})
	l.Renew(now)
	fmt.Println(l.Valid(now.Add(900 * time.Millisecond)))
	fmt.Println(l.Valid(now.Add(20*time.Second)), l.DetectPause(now.Add(20*time.Second)))
	l.Renew(now.Add(20 * time.Second))
	fmt.Println(l.Valid(now.Add(20 * time.Second)))
	// Output:
	// true
	// false 20s
	// true
}
