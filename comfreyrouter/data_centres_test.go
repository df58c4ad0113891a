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
	overloaded := Hint{Incarnation: 1, Accepting: true, Running: 9, Queued: 9, ExpectedWait: time.Minute}
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
	preferred := []string{"namur", "mechelen"}
	if h := choose(Query{DataCentres: preferred}); h != "b" {
		t.Errorf("with a free first data centre the choice is %s, want b", h)
	}
	r.Observe(now, "b", overloaded)
	if h := choose(Query{DataCentres: preferred}); h != "c" {
		t.Errorf("with an overloaded first data centre the choice is %s, want c", h)
	}
	r.Observe(now, "c", overloaded)
	if h := choose(Query{DataCentres: preferred}); h != "a" {
		t.Errorf("with two overloaded data centres the choice is %s, want a", h)
	}
	if h := choose(Query{DataCentres: preferred, IsSpillDisabled: true}); h == "a" {
		t.Error("a request with spill disabled is sent to another data centre")
	}
}
