package comfreyplacement

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"comfreyridge.example/comfreyridge/comfreyoccupancy"
)

const (
	// NewReplicaPeriod is how long a replica is not offered to other cells. After
	// it, the gateways have received each other's placements there.
	NewReplicaPeriod = 800 * time.Millisecond
	// firstGateways is how many gateways may use a replica that has just appeared.
	// Only a few prompts can be prefilled within the target latency of a first
	// event.
	firstGateways = 2
	// minSharingGateways is the size of a cell up to which all of its gateways may
	// use every replica.
	minSharingGateways = 3
	// gatewayDoublingTime is after which time twice as many may use it. An engine
	// prefills a prompt or two in that time.
	gatewayDoublingTime = 400 * time.Millisecond
	// unansweredAge is the age until which a replica opens without an answer: two
	// prompts are prefilled in that time.
	unansweredAge = 2 * gatewayDoublingTime
	// maxDoublings bounds the number of gateways of a cell, far above its size.
	maxDoublings = 16
)

// MayUseNewReplica reports whether a gateway may use a replica that appeared some
// time ago. Rendezvous hashing assigns each new replica to a few gateways, so that
// the gateways share out several new replicas without communication, and to more
// and more of them as it ages.
//
// It is built for this load: seven empty replicas appear at once, and thirty
// gateways have generations in their queues. All gateways choose an empty
// replica before they receive each other's placements, and the prompts that one
// replica receives take seconds to prefill. The same happens later if all of
// them may use it from the same moment on.
func MayUseNewReplica(replica, own string, others []string, age time.Duration) bool {
	allowed := firstGateways << min(max(age, 0)/gatewayDoublingTime, maxDoublings)
	if len(others) < max(allowed, minSharingGateways) {
		return true
	}
	before := 0
	mine := rendezvousWeight(replica, own)
	for _, o := range others {
		if rendezvousWeight(replica, o) >= mine {
			continue
		}
		if before++; before >= allowed {
			return false
		}
	}
	return true
}

// OpeningAge returns the age of a replica that counts for MayUseNewReplica where the
// pace of new replicas is found from how they answer. Each generation that has got its
// first event there counts like the time in which the replica is expected to prefill
// one. One that has work and has answered nothing yet stays at the age that it had when
// it should have.
//
// It is built for this load: a data centre returns at once with a third of all
// replicas, some of which are slower than usual, and all gateways have generations in
// their queues. By age alone, a fast replica is idle for most of a second, and a slow
// one receives prompts for seconds before its first event.
func OpeningAge(age time.Duration, l comfreyoccupancy.Load) time.Duration {
	switch {
	case l.Decoding > 0:
		return age + time.Duration(l.Decoding)*gatewayDoublingTime
	case l.PendingPrefillTokens > 0:
		return min(age, unansweredAge)
	default:
		return age
	}
}

// rendezvousWeight returns the weight of a gateway for a replica; the gateways
// of the lowest weights use the replica.
func rendezvousWeight(replica, gateway string) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(replica) // A hash never fails.
	_, _ = d.WriteString(" ")
	_, _ = d.WriteString(gateway)
	return d.Sum64()
}
