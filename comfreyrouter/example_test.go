package comfreyrouter_test

import (
	"fmt"
	"time"

	"comfreyridge.example/comfreyridge/comfreyfleet"
	"comfreyridge.example/comfreyridge/comfreyrouter"
	"comfreyridge.example/comfreyridge/comfreyverdict"
)

func ExampleRouter() {
	now := time.Unix(1000, 0)
	r := comfreyrouter.New(comfreyrouter.Config{Gateway: "entry-1", DataCentre: "namur"})
	r.Update(now, []comfreyfleet.Member{
		{Host: "near", DataCentre: "namur", Service: "templates"},
		{Host: "far", DataCentre: "mons", Service: "templates"},
	})
	q := comfreyrouter.Query{Service: "templates"}
	c, err := r.Choose(now, q)
	fmt.Println(c.Host, c.Reason, err)

	r.Observe(now, "near", comfreyrouter.Hint{Accepting: true, ExpectedWait: 4 * time.Second})
	r.Observe(now, "far", comfreyrouter.Hint{Accepting: true})
	c, err = r.Choose(now, q)
	fmt.Println(c.Host, c.Reason, err)

	q.ExcludedHosts = []string{"near", "far"}
	_, err = r.Choose(now, q)
	fmt.Println(err)
	// Output:
	// near few-choices <nil>
	// far spill <nil>
	// comfreyverdict: not-run: no-upstream: no upstream accepts work
}

func ExampleRetryBudget() {
	b := comfreyrouter.NewRetryBudget(comfreyrouter.RetryBudgetConfig{})
	now := time.Unix(1000, 0)
	for range 12 {
		b.RecordRequest(now)
	}
	fmt.Println(b.TryRetry(now, comfreyverdict.ReasonLeaving))
	fmt.Println(b.TryRetry(now, comfreyverdict.ReasonLeaving))
	// Output:
	// true
	// false
}
