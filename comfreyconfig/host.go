package comfreyconfig

import (
	"encoding/json"
	"fmt"
)

// HostRole is the kind of process that a host runs.
type HostRole string

// The roles of a host.
const (
	HostRoleGateway HostRole = "gateway"
	HostRoleSidecar HostRole = "sidecar"
)

// HostState is whether a host accepts new work.
type HostState string

// The states of a host. Every other value counts as HostStateLeaving.
const (
	HostStateLive    HostState = "live"
	HostStateLeaving HostState = "leaving"
)

// Fencing is whether a host's upstream refuses orders that carry an old fencing
// number.
type Fencing string

// The fencing modes. Every other value counts as FencingIgnored.
const (
	FencingEnforced Fencing = "enforced"
	FencingIgnored  Fencing = "ignored"
)

// Host is an entry of the platform's host list.
type Host struct {
	Host       string    `json:"host"`
	DataCentre string    `json:"data-centre"`
	Role       HostRole  `json:"role"`
	Address    string    `json:"address"`
	Service    string    `json:"service"`
	State      HostState `json:"state"`
	Fencing    Fencing   `json:"fencing"`
}

// HostList is one version of the platform's host list. It is only a hint: it is
// updated with a delay, and failed hosts stay listed. Host lists are immutable
// values.
type HostList struct {
	// Number orders the versions; 0 means that no list is known.
	Number uint64
	// Hash is the hash of the list's text.
	Hash Hash
	// Hosts are the hosts in the order of the list.
	Hosts []Host
	text  []byte
}

// ParseHostList parses the JSON text of a host list. It returns an error if the
// text is not a list of hosts or number is 0.
func ParseHostList(number uint64, b []byte) (HostList, error) {
	if number == 0 {
		return HostList{}, fmt.Errorf("comfreyconfig: host list: expected a number above 0, got 0")
	}
	l := HostList{Number: number, Hash: HashOf(b), text: b}
	if err := json.Unmarshal(b, &l.Hosts); err != nil {
		return HostList{}, fmt.Errorf("comfreyconfig: host list: expected a JSON list of hosts: %w", err)
	}
	return l, nil
}

// Peers returns the listed processes that have an address, other than the one
// at address self.
func (l HostList) Peers(self string) []Peer {
	var s []Peer
	for _, h := range l.Hosts {
		if h.Address != self && h.Address != "" {
			s = append(s, Peer{Address: h.Address, DataCentre: h.DataCentre})
		}
	}
	return s
}

// Peer is another process of the fleet, with which digests are exchanged.
type Peer struct {
	// Address is the IP address and port of the process. The empty address
	// stands for the platform.
	Address string
	// DataCentre is the data centre of the process.
	DataCentre string
}
