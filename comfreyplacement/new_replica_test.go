package comfreyplacement_test

import (
	"fmt"
	"testing"

	"comfreyridge.example/comfreyridge/comfreyplacement"
)

func others(gateways []string, own int) []string {
	var l []string
	for i, g := range gateways {
		if i != own {
			l = append(l, g)
		}
	}
	return l
}

// Seven replicas start at once, and each of 31 gateways, which have not
// received each other's placements yet, has a generation in its queue. Guards
// against many gateways using the same new replica.
func TestEachNewReplicaIsUsedByThreeGateways(t *testing.T) {
	var gateways []string
	for i := range 31 {
		gateways = append(gateways, fmt.Sprintf("10.1.0.%d:8748", 19+i))
	}
	got := map[string]int{}
	idle := 0
	for i, own := range gateways {
		isIdle := true
		for r := range 7 {
			id := fmt.Sprintf("i-%08x", 7919*r)
			if comfreyplacement.MayUseNewReplica(id, own, others(gateways, i)) {
				got[id]++
				isIdle = false
			}
		}
		if isIdle {
			idle++
		}
	}
	for id, n := range got {
		if n != 3 {
			t.Errorf("%d gateways use %s, want 3", n, id)
		}
	}
	if len(got) != 7 || idle > 18 {
		t.Errorf("%d replicas are used, want 7; %d gateways use none, want at most 18", len(got), idle)
	}
}

func TestFewGatewaysAllUseNewReplica(t *testing.T) {
	gateways := []string{"a:1", "b:1", "c:1"}
	for i, own := range gateways {
		if !comfreyplacement.MayUseNewReplica("i-1", own, others(gateways, i)) {
			t.Errorf("gateway %s may not use the new replica", own)
		}
	}
}
