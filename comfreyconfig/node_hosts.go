package comfreyconfig

import "time"

// hearHosts asks a peer for a newer host list, at most once in the time that
// an answer takes.
func (n *Node) hearHosts(now time.Time, from Peer, d Digest) []Action {
	if d.HostsNumber <= n.hosts.Number || from.Address == "" || now.Before(n.listFetch) {
		return nil
	}
	n.listFetch = now.Add(n.config.Timing.CallTimeout)
	n.wanted = wantedList{number: d.HostsNumber, hash: d.HostsHash}
	return []Action{{Kind: ActionFetch, Peer: from, Hashes: []Hash{d.HostsHash}}}
}

// wantedList is the host list that a peer was asked for.
type wantedList struct {
	number uint64
	hash   Hash
}

// takeHostBlob takes a blob as the host list if it is the wanted one.
func (n *Node) takeHostBlob(h Hash, b []byte) []Action {
	if n.wanted.number == 0 || h != n.wanted.hash {
		return nil
	}
	return n.takeHosts(n.wanted.number, b)
}

// HandleHostsResult takes in the answer to ActionHosts.
func (n *Node) HandleHostsResult(now time.Time, h HostsResult) []Action {
	var a []Action
	switch {
	case h.Failed:
		n.stats.PlatformFailures++
	case !h.Unchanged:
		a = n.takeHosts(h.Number, h.Text)
	}
	return append(a, n.startListed(now)...)
}

// takeHosts takes a host list that is newer than the one held.
func (n *Node) takeHosts(number uint64, b []byte) []Action {
	if number <= n.hosts.Number {
		return nil
	}
	l, err := ParseHostList(number, b)
	if err != nil {
		n.stats.Corrupt++
		return nil
	}
	n.hosts = l
	n.wanted = wantedList{}
	n.setPeers(mergePeers(l.Peers(n.config.Self.Address), n.config.Seeds, n.config.Self.Address))
	return []Action{{Kind: ActionHostListChanged, Hosts: l}}
}

// mergePeers returns the listed peers with those seeds that are not listed.
func mergePeers(listed, seeds []Peer, self string) []Peer {
	known := map[string]bool{self: true}
	for _, p := range listed {
		known[p.Address] = true
	}
	for _, p := range seeds {
		if !known[p.Address] {
			known[p.Address] = true
			listed = append(listed, p)
		}
	}
	return listed
}
