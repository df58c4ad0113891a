package comfreyrouter

import (
	"testing"
	"time"

	"comfreyridge.example/comfreyridge/comfreyfleet"
)

func TestPreferredDataCentresAreTriedInOrder(t *testing.T) {
	now := time.Unix(1000, 0)
	r := New(Config{Gateway: "g", DataCentre: "leuven"})
	r.Update(now, []comfreyfleet.Member{
		{Host: "a", DataCentre: "leuven", Address: "a:1", Service: "s"},
		{Host: "b", DataCentre: "namur", Address: "b:1", Service: "s"},
		{Host: "c", DataCentre: "mechelen", Address: "c:1", Service: "s"},
	})
	crowded := Hint{Incarnation: 1, Accepting: true, Running: 9, Queued: 9, ExpectedWait: time.Minute}
	choose := func(q Query) string {
		q.Service = "s"
		c, err := r.Choose(now, q)
		if err != nil {
			return err.Error()
		}
		return c.Host
	}
	for _, h := range []string{"a", "b", "c"} {
		r.Observe(now, h, Hint{Incarnation: 1, Accepting: true})
	}
	order := []string{"namur", "mechelen"}
	if h := choose(Query{DataCentres: order}); h != "b" {
		t.Errorf("the first data centre is free, got %s", h)
	}
	r.Observe(now, "b", crowded)
	if h := choose(Query{DataCentres: order}); h != "c" {
		t.Errorf("the first data centre is crowded, got %s", h)
	}
	r.Observe(now, "c", crowded)
	if h := choose(Query{DataCentres: order}); h != "a" {
		t.Errorf("both are crowded, got %s", h)
	}
	if h := choose(Query{DataCentres: order, IsSpillDisabled: true}); h == "a" {
		t.Error("a confined request left its data centres")
	}
}
