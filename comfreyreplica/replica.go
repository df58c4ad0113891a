// Package comfreyreplica holds what one process believes about the replicas of
// all services: which exist, which may receive new work, and how loaded they
// are. It makes no calls and reads no clock.
package comfreyreplica

import "time"

// Registration is the entry of a replica in the platform's list.
type Registration struct {
	// ID names one start of the replica.
	ID      string
	Service string
	// Address is the replica's IP address and port.
	Address    string
	DataCentre string
	// Slots is how many requests the replica processes at once; zero if the
	// entry does not say.
	Slots int
	// IsDraining replicas take no new work and end soon.
	IsDraining bool
	// WarmUpTime is how much longer the replica is slow after its start, counted
	// from the entry's last change.
	WarmUpTime time.Duration
	// StartMillis is when the replica started, by its own clock in Unix milliseconds;
	// zero if unknown.
	StartMillis int64
}

// State says what a replica may receive.
type State int

// The states, from the most useful to the least.
const (
	// StateReady replicas take new work.
	StateReady State = iota
	// StateLapsed replicas have lost their entry while the platform was away.
	// They take new work until it is known whether they live.
	StateLapsed
	// StateLeaving replicas finish what they have.
	StateLeaving
)

// String returns the kebab-case name of s.
func (s State) String() string {
	switch s {
	case StateReady:
		return "ready"
	case StateLapsed:
		return "lapsed"
	default:
		return "leaving"
	}
}

// Replica is the belief about one replica. Values are immutable.
type Replica struct {
	Registration
	State State
	// Since is when the state began.
	Since time.Time
	// WarmAt is when the replica is expected to reach its full speed.
	WarmAt time.Time
	// EndsAt is when a leaving replica is expected to be gone.
	EndsAt time.Time
	// IsRemoved means that the replica's entry was removed or that another
	// replica answered at its address.
	IsRemoved bool
}

// IsAccepting reports whether new requests may be sent to the replica.
func (r Replica) IsAccepting() bool {
	return r.State != StateLeaving
}
