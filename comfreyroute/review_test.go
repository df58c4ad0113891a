package comfreyroute_test

import (
	"fmt"
	"testing"
	"time"

	"comfreyridge.example/comfreyridge/comfreyroute"
)

func ExampleReview() {
	t := comfreyroute.NewTable(comfreyroute.Config{
		Version: 4,
		Routes: []comfreyroute.Route{{
			Name: "drafts", Host: "shop.example", Prefix: "/drafts", Kind: comfreyroute.KindStreaming, Timeout: time.Second, TargetLatency: 2 * time.Second,
			TrafficSplit: []comfreyroute.WeightedService{{Service: "llm", Weight: 1}},
		}},
		Services: []comfreyroute.Service{{Name: "llm", MaxConnections: 9, HasEngine: true, Engine: comfreyroute.Engine{Slots: 8, CapacityTokens: 9000}}},
		Limits:   comfreyroute.Limits{HeaderSizeBytes: 1, BodySizeBytes: 1},
	})
	for _, f := range comfreyroute.Review(t) {
		fmt.Println(f.Severity, f.Entry, f.Name, f.Field, f.Got)
	}
	// Output:
	// error route drafts prefix /drafts
	// warning route drafts target-latency 2s
}

func ExampleCompare() {
	table := func(version uint64, timeout time.Duration) *comfreyroute.Table {
		return comfreyroute.NewTable(comfreyroute.Config{Version: version, Routes: []comfreyroute.Route{{Name: "a", Timeout: timeout}}})
	}
	for _, d := range comfreyroute.Compare(table(1, time.Second), table(2, 3*time.Second)) {
		fmt.Println(d.Entry, d.Name, d.Field, d.Before, d.After)
	}
	// Output:
	// configuration  version 1 2
	// route a timeout 1s 3s
}

// TestSoundConfigurationHasNoFindings guards against warnings that operators learn to
// ignore.
func TestSoundConfigurationHasNoFindings(t *testing.T) {
	c := comfreyroute.Config{
		Version: 1,
		Routes: []comfreyroute.Route{
			{Name: "a", Host: "shop.example", Prefix: "/a/", Timeout: time.Second, TargetLatency: time.Second, MaxAttempts: 1, TrafficSplit: []comfreyroute.WeightedService{{Service: "app", Weight: 1}}},
			{Name: "b", Host: "shop.example", Prefix: "/", Homes: comfreyroute.NewHomes("north"), TrafficSplit: []comfreyroute.WeightedService{{Service: "app", Weight: 1}}},
		},
		Services: []comfreyroute.Service{{Name: "app", MaxConnections: 9}},
		Keys:     map[string]comfreyroute.Customer{"k": {Name: "shop", Homes: comfreyroute.NewHomes("north", "south")}},
		Limits:   comfreyroute.Limits{HeaderSizeBytes: 1, BodySizeBytes: 1, HeaderTimeout: time.Second, IdleTimeout: 2 * time.Second},
	}
	if l := comfreyroute.Review(comfreyroute.NewTable(c)); len(l) > 0 || comfreyroute.HasErrors(l) {
		t.Errorf("expected no findings, got %+v", l)
	}
	if l := comfreyroute.Compare(comfreyroute.NewTable(c), comfreyroute.NewTable(c)); len(l) > 0 {
		t.Errorf("expected no differences, got %+v", l)
	}
}
