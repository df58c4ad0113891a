// Package comfreyfleet holds a process's local view of the other hosts: the host
// list, which lags behind their actual state, the status that each sidecar
// reports about itself, failure suspicions, and the lease that bounds how long
// this view may be acted on.
package comfreyfleet

// Role is what a host runs. The zero value is RoleUpstream.
type Role int

// The roles of a host.
const (
	// RoleUpstream is a host that runs an engine or a plain service behind a
	// sidecar.
	RoleUpstream Role = iota
	// RoleGateway is an entry host.
	RoleGateway
)

// String returns the kebab-case name of r. An out-of-range value is reported
// as "upstream".
func (r Role) String() string {
	if r == RoleGateway {
		return "gateway"
	}
	return "upstream"
}

// State is the listed state of a host. The zero value is StateLive.
type State int

// The states of a listed host.
const (
	// StateLive means that the host may receive new work.
	StateLive State = iota
	// StateLeaving means that the host must receive no new work.
	StateLeaving
)

// String returns the kebab-case name of s. An out-of-range value is reported
// as "leaving", so that the host receives no work.
func (s State) String() string {
	if s == StateLive {
		return "live"
	}
	return "leaving"
}

// Fencing is how an upstream treats a command that carries an old fencing
// number. The zero value is FencingIgnored, the weaker assumption.
type Fencing int

// The ways in which an upstream treats fencing numbers.
const (
	// FencingIgnored means that an old command may still take effect.
	FencingIgnored Fencing = iota
	// FencingEnforced means that the upstream refuses an old command.
	FencingEnforced
)

// String returns the kebab-case name of f. An out-of-range value is reported
// as "ignored".
func (f Fencing) String() string {
	if f == FencingEnforced {
		return "enforced"
	}
	return "ignored"
}

// Member is one entry of the host list. It is an immutable value.
type Member struct {
	// Host is the unique name of the host.
	Host string
	// DataCentre is the data centre of the host.
	DataCentre string
	// Address is the IP address and port of the system's process on the host.
	Address string
	// Service is the service that the upstream serves; empty for a gateway.
	Service string
	Role    Role
	// State is the listed state, which lags behind the actual one.
	State State
	// Fencing says whether the upstream refuses commands with old fencing
	// numbers.
	Fencing Fencing
}

// WithState returns a copy of m in state s.
func (m Member) WithState(s State) Member {
	m.State = s
	return m
}

// WithAddress returns a copy of m at address a.
func (m Member) WithAddress(a string) Member {
	m.Address = a
	return m
}

// WithFencing returns a copy of m whose upstream treats fencing numbers
// according to f.
func (m Member) WithFencing(f Fencing) Member {
	m.Fencing = f
	return m
}
