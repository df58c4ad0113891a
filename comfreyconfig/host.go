package comfreyconfig

import (
	"encoding/json"
	"fmt"
)

// HostRole says which process a host runs.
type HostRole string

// The roles of a host.
const (
	HostRoleGateway HostRole = "gateway"
	HostRoleSidecar HostRole = "sidecar"
)

// HostState says whether a host takes new work.
type HostState string

// The states of a host. Every other value counts as HostStateLeaving.
const (
	HostStateLive    HostState = "live"
	HostStateLeaving HostState = "leaving"
)

// Fencing says whether a host's upstream refuses orders that carry an old
// fencing number.
type Fencing string

// The kinds of fencing. Every other value counts as FencingIgnored.
const (
	FencingEnforced Fencing = "enforced"
	FencingIgnored  Fencing = "ignored"
)

// Host is one line of the platform's lagging host list.
type Host struct {
	Host       string    `json:"host"`
	DataCentre string    `json:"data-centre"`
	Role       HostRole  `json:"role"`
	Address    string    `json:"address"`
	Service    string    `json:"service"`
	State      HostState `json:"state"`
	Fencing    Fencing   `json:"fencing"`
}

// HostList is one state of the host list. It is a hint: it lags, and hosts
// fail without leaving it. Host lists are immutable values.
type HostList struct {
	// Number orders the states; 0 means that no list is known.
	Number uint64
	// Hash is the hash of the list's text.
	Hash Hash
	// Hosts are the hosts in the order of the list.
	Hosts []Host
	text  []byte
}

// ParseHostList returns the host list that a JSON text holds. It returns an
// error if the text is no list of hosts or number is 0.
func ParseHostList(number uint64, b []byte) (HostList, error) {
	if number == 0 {
		return HostList{}, fmt.Errorf("comfreyconfig: a host list has no number")
	}
	l := HostList{Number: number, Hash: HashOf(b), text: b}
	if err := json.Unmarshal(b, &l.Hosts); err != nil {
		return HostList{}, fmt.Errorf("comfreyconfig: reading a host list: %w", err)
	}
	return l, nil
}

// Peers returns the processes of the list other than the one at address self.
func (l HostList) Peers(self string) []Peer {
	var s []Peer
	for _, h := range l.Hosts {
		if h.Address != self && h.Address != "" {
			s = append(s, Peer{Address: h.Address, DataCentre: h.DataCentre})
		}
	}
	return s
}

// Peer is a process that exchanges digests.
type Peer struct {
	// Address is the IP number and port of the process. The empty address
	// stands for the platform.
	Address string
	// DataCentre is the data centre of the process.
	DataCentre string
}
