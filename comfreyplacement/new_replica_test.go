package comfreyplacement_test

import (
	"fmt"
	"testing"
	"time"

	"comfreyridge.example/comfreyridge/comfreyoccupancy"
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
func TestEachNewReplicaIsUsedByTwoGateways(t *testing.T) {
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
			if comfreyplacement.MayUseNewReplica(id, own, others(gateways, i), 0) {
				got[id]++
				isIdle = false
			}
		}
		if isIdle {
			idle++
		}
	}
	for id, n := range got {
		if n != 2 {
			t.Errorf("%d gateways use %s, want 2", n, id)
		}
	}
	if len(got) != 7 || idle > 21 {
		t.Errorf("%d replicas are used, want 7; %d gateways use none, want at most 21", len(got), idle)
	}
}

// TestNewReplicaOpensGradually replays a replica that is still empty when it is no
// longer new, while all of 31 gateways have generations in their queues. In its
// first second, no more of them may begin to use it at one moment than it can
// prefill prompts for in time.
func TestNewReplicaOpensGradually(t *testing.T) {
	var gateways []string
	for i := range 31 {
		gateways = append(gateways, fmt.Sprintf("10.1.0.%d:8748", 19+i))
	}
	before := 0
	for age := time.Duration(0); age <= 2*time.Second; age += 50 * time.Millisecond {
		n := 0
		for i, own := range gateways {
			if comfreyplacement.MayUseNewReplica("i-1", own, others(gateways, i), age) {
				n++
			}
		}
		if age <= time.Second && n-before > 4 || age > time.Second && n < before {
			t.Errorf("%d gateways may use a replica of age %v, %d just before", n, age, before)
		}
		before = n
	}
	if before != 31 {
		t.Errorf("%d gateways may use a replica after 2 s, want all 31", before)
	}
}

// TestPendingPrefillLeavesTimeForUnknownPrompts replays a draft of 3,000 tokens
// that is due in 1.8 s and finds a replica that has prompts to prefill. One of ten
// drafts that were sent behind more than 6,500 known tokens was late, since others
// had been sent there at the same time.
func TestPendingPrefillLeavesTimeForUnknownPrompts(t *testing.T) {
	got := comfreyplacement.MaxPendingPrefill(1800*time.Millisecond, 0, 3000)
	if got > 6600 || got < 6000 {
		t.Errorf("a draft may wait behind %d tokens, want about 6,500: 1.25 s at 5,200 tokens a second", got)
	}
}

func TestFewGatewaysAllUseNewReplica(t *testing.T) {
	gateways := []string{"a:1", "b:1", "c:1"}
	for i, own := range gateways {
		if !comfreyplacement.MayUseNewReplica("i-1", own, others(gateways, i), 0) {
			t.Errorf("gateway %s may not use the new replica", own)
		}
	}
}

// TestNewReplicaOpensByItsAnswers replays a replica that returns empty, while 31 gateways
// have a prompt each and learn of each other's placements after 250 ms. A fast one has to
// be used by all gateways sooner than by its age alone, and one that answers nothing must
// not receive more prompts than it can prefill for the first event to be on time.
func TestNewReplicaOpensByItsAnswers(t *testing.T) {
	var gateways []string
	for i := range 31 {
		gateways = append(gateways, fmt.Sprintf("10.1.0.%d:8748", 19+i))
	}
	// replay returns when all gateways may use the replica, and how many prompts it has
	// received by then or after 5 s, given how long it takes to prefill one.
	replay := func(prefill time.Duration, age func(age time.Duration, l comfreyoccupancy.Load) time.Duration) (time.Duration, int) {
		var sentAt []time.Duration
		used := map[int]bool{}
		const step, gossipDelay = 50 * time.Millisecond, 250 * time.Millisecond
		for now := time.Duration(0); now < 5*time.Second; now += step {
			known := 0
			for _, at := range sentAt {
				if now-at >= gossipDelay {
					known++
				}
			}
			answered := min(known, int(max(now-gossipDelay, 0)/prefill))
			l := comfreyoccupancy.Load{Decoding: answered, PendingPrefillTokens: 3000 * (known - answered)}
			open := 0
			for i, own := range gateways {
				if !comfreyplacement.MayUseNewReplica("i-1", own, others(gateways, i), age(now, l)) {
					continue
				}
				open++
				if !used[i] {
					used[i] = true
					sentAt = append(sentAt, now)
				}
			}
			if open == len(gateways) {
				return now, len(sentAt)
			}
		}
		return 5 * time.Second, len(sentAt)
	}
	byAge := func(age time.Duration, _ comfreyoccupancy.Load) time.Duration { return age }
	fast, _ := replay(200*time.Millisecond, comfreyplacement.OpeningAge)
	fastByAge, _ := replay(200*time.Millisecond, byAge)
	if fast >= fastByAge {
		t.Errorf("a fast replica: expected that all gateways use it before %v, got %v", fastByAge, fast)
	}
	_, silent := replay(time.Hour, comfreyplacement.OpeningAge)
	_, silentByAge := replay(time.Hour, byAge)
	if silent > 8 || silent >= silentByAge {
		t.Errorf("a replica that does not answer: expected at most 8 prompts, and fewer than %d, got %d", silentByAge, silent)
	}
	t.Logf("fast: %v instead of %v; silent: %d prompts instead of %d", fast, fastByAge, silent, silentByAge)
}
