package comfreyplacement

import (
	"hash/fnv"
	"io"
	"time"
)

const (
	// NewReplicaPeriod is how long a replica counts as new: by then the gateways have
	// heard of each other's placements there.
	NewReplicaPeriod = 800 * time.Millisecond
	// firstGateways is how many gateways use a new replica: a few prompts are
	// read within a first event's objective.
	firstGateways = 3
)

// MayUseNewReplica reports whether a gateway uses a replica while it is new. A new
// one is left to a few gateways, chosen by rendezvous hashing, so that several
// new replicas are shared out without a word.
//
// The load pattern that it answers: seven empty replicas appear at once before
// thirty gateways, where generations wait. All of them choose an empty one
// before they hear of each other, and what one replica gets takes seconds to
// read.
func MayUseNewReplica(replica, own string, others []string) bool {
	if len(others) < firstGateways {
		return true
	}
	before := 0
	mine := weight(replica, own)
	for _, o := range others {
		if weight(replica, o) < mine {
			before++
		}
	}
	return before < firstGateways
}

func weight(replica, gateway string) uint64 {
	h := fnv.New64a()
	_, _ = io.WriteString(h, replica+" "+gateway) // Never fails.
	// The last bytes of similar addresses hardly change the upper bits.
	return h.Sum64() * 0x9e3779b97f4a7c15
}
