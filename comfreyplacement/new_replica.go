package comfreyplacement

import (
	"hash/fnv"
	"io"
	"time"
)

const (
	// NewReplicaPeriod is how long a replica counts as new. After it, the
	// gateways have received each other's placements there.
	NewReplicaPeriod = 800 * time.Millisecond
	// newReplicaGateways is how many gateways may use a new replica. Only a few
	// prompts can be prefilled within the target latency of a first event.
	newReplicaGateways = 3
)

// MayUseNewReplica reports whether a gateway may use a replica while it is new.
// Rendezvous hashing assigns each new replica to a few gateways, so that the
// gateways share out several new replicas without communication.
//
// It is built for this load: seven empty replicas appear at once, and thirty
// gateways have generations in their queues. All gateways choose an empty
// replica before they receive each other's placements, and the prompts that one
// replica receives take seconds to prefill.
func MayUseNewReplica(replica, own string, others []string) bool {
	if len(others) < newReplicaGateways {
		return true
	}
	before := 0
	mine := rendezvousWeight(replica, own)
	for _, o := range others {
		if rendezvousWeight(replica, o) < mine {
			before++
		}
	}
	return before < newReplicaGateways
}

// rendezvousWeight returns the weight of a gateway for a replica; the gateways
// of the lowest weights use the replica.
func rendezvousWeight(replica, gateway string) uint64 {
	h := fnv.New64a()
	_, _ = io.WriteString(h, replica+" "+gateway) // A hash never fails.
	// FNV hardly spreads the last bytes of similar addresses to the upper bits.
	return h.Sum64() * 0x9e3779b97f4a7c15
}
