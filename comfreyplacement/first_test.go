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

// Replays the pattern of seven replicas that come at once before 31 gateways
// that do not hear of each other yet, each with a generation that waits.
func TestNewReplicasAreSharedOut(t *testing.T) {
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
			t.Errorf("%d gateways use %s", n, id)
		}
	}
	if len(got) != 7 || idle > 18 {
		t.Errorf("%d replicas are used, %d gateways use none", len(got), idle)
	}
}

func TestNewReplicaIsUsedByAllOfAFewGateways(t *testing.T) {
	gateways := []string{"a:1", "b:1", "c:1"}
	for i, own := range gateways {
		if !comfreyplacement.MayUseNewReplica("i-1", own, others(gateways, i)) {
			t.Errorf("%s does not use a new replica", own)
		}
	}
}
