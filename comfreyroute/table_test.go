package comfreyroute_test

import (
	"fmt"
	"testing"

	"comfreyridge.example/comfreyridge/comfreyroute"
)

func ExampleTable_Match() {
	t := comfreyroute.NewTable(comfreyroute.Config{Routes: []comfreyroute.Route{
		{Name: "all", Host: "shop.example", Prefix: "/"},
		{Name: "drafts", Host: "shop.example", Prefix: "/drafts/"},
	}})
	r, ok := t.Match("Shop.example:80", "/drafts/17")
	fmt.Println(r.Name, ok)
	_, ok = t.Match("other.example", "/drafts/17")
	fmt.Println(ok)
	// Output:
	// drafts true
	// false
}

func TestSelectFollowsWeights(t *testing.T) {
	r := comfreyroute.Route{TrafficSplit: []comfreyroute.WeightedService{{Service: "a", Weight: 90}, {Service: "none"}, {Service: "b", Weight: 10}}}
	for draw, want := range map[float64]string{0: "a", 0.89: "a", 0.91: "b", 0.999: "b"} {
		if got, ok := r.Select(draw); !ok || got != want {
			t.Errorf("Select(%v) = %q, %v, want %q", draw, got, ok, want)
		}
	}
	if _, ok := (comfreyroute.Route{}).Select(0.5); ok {
		t.Error("a route without services selects one")
	}
}

func TestKeysAreRequiredOnlyWithCustomers(t *testing.T) {
	open := comfreyroute.NewTable(comfreyroute.Config{})
	closed := comfreyroute.NewTable(comfreyroute.Config{Keys: map[string]comfreyroute.Customer{}})
	if open.RequiresKey(comfreyroute.Route{}) || !closed.RequiresKey(comfreyroute.Route{}) || closed.RequiresKey(comfreyroute.Route{IsPublic: true}) {
		t.Error("RequiresKey must be true only with customers and for a route that is not public")
	}
}
