// Package comfreyreplica holds one process's local view of the replicas of all
// services: which exist, which accept new requests, how loaded they are and how
// often their requests fail. It makes no calls and reads no clock.
package comfreyreplica

import "time"

// Registration is a replica's entry in the platform's store.
type Registration struct {
	// ID identifies one start of the replica.
	ID      string
	Service string
	// Address is the replica's IP address and port.
	Address    string
	DataCentre string
	// Slots is the number of requests that the replica processes concurrently;
	// zero if unknown.
	Slots int
	// IsDraining means that the replica accepts no new requests and stops soon.
	IsDraining bool
	// WarmUpTime is the remaining time until the replica reaches its full speed,
	// counted from the registration's last change.
	WarmUpTime time.Duration
	// StartMillis is when the replica started, by its own clock in Unix
	// milliseconds; zero if unknown.
	StartMillis int64
}

// start returns the start that a registration is of.
func (l Registration) start() Start {
	return Start{l.ID, l.StartMillis}
}

// State says whether a replica accepts new requests.
type State int

// The states, the most preferred first.
const (
	// StateReady replicas accept new requests.
	StateReady State = iota
	// StateLapsed replicas lost their registration during or right after an
	// outage of the platform. They accept new requests until it is known whether
	// they still run.
	StateLapsed
	// StateLeaving replicas finish their open requests and accept no new ones.
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

// Replica is the local view of one replica. Values are immutable.
type Replica struct {
	Registration
	State State
	// Since is when the state began.
	Since time.Time
	// WarmAt is when the replica is expected to reach its full speed.
	WarmAt time.Time
	// EndsAt is when a leaving replica is expected to stop serving.
	EndsAt time.Time
	// IsRemoved means that the replica's registration was removed or that another
	// replica responded at its address.
	IsRemoved bool
	// IsReplaced means that another replica has its address: it responded there, or is
	// listed there and started later. The store does not tell it of this one.
	IsReplaced bool
	// IsAnnounced means that the replica has told this process in a response that it
	// leaves, before the store or another process told so.
	IsAnnounced bool
}

// Start returns the start that the replica is at.
func (r Replica) Start() Start {
	return r.start()
}

// IsKnownToLeave reports whether the replica leaves by what other processes can not
// learn from the store: its own word, or that of another replica at its address. One
// whose registration was removed may have lapsed in an outage of the store.
func (r Replica) IsKnownToLeave() bool {
	return r.State == StateLeaving && (!r.IsRemoved || r.IsReplaced)
}

// IsAccepting reports whether the replica accepts new requests.
func (r Replica) IsAccepting() bool {
	return r.State != StateLeaving
}
