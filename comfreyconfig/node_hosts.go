package comfreyconfig

import "time"

// observeHostsDigest fetches the host list of a peer if it is newer, at most
// once per Timing.CallTimeout.
func (n *Node) observeHostsDigest(now time.Time, from Peer, d Digest) []Action {
	if d.HostsNumber <= n.hosts.Number || from.Address == "" || now.Before(n.hostListDeadline) {
		return nil
	}
	n.hostListDeadline = now.Add(n.config.Timing.CallTimeout)
	n.requestedHosts = hostListRequest{number: d.HostsNumber, hash: d.HostsHash}
	return []Action{{Kind: ActionFetch, Peer: from, Hashes: []Hash{d.HostsHash}}}
}

// hostListRequest identifies the host list that was requested from a peer.
type hostListRequest struct {
	number uint64
	hash   Hash
}

// applyHostBlob applies a blob as the host list if it is the requested one.
func (n *Node) applyHostBlob(h Hash, b []byte) []Action {
	if n.requestedHosts.number == 0 || h != n.requestedHosts.hash {
		return nil
	}
	return n.applyHosts(n.requestedHosts.number, b)
}

// HandleHostsResult processes the result of ActionReadHosts.
func (n *Node) HandleHostsResult(now time.Time, h HostsResult) []Action {
	var a []Action
	switch {
	case h.Failed:
		n.stats.PlatformFailures++
	case !h.Unchanged:
		a = n.applyHosts(h.Number, h.Text)
	}
	return append(a, n.handleStartupHosts(now)...)
}

// applyHosts applies a host list if it is newer than the current one.
func (n *Node) applyHosts(number uint64, b []byte) []Action {
	if number <= n.hosts.Number {
		return nil
	}
	l, err := ParseHostList(number, b)
	if err != nil {
		n.stats.Corrupt++
		return nil
	}
	n.hosts = l
	n.requestedHosts = hostListRequest{}
	n.setPeers(mergePeers(l.Peers(n.config.Self.Address), n.config.Seeds, n.config.Self.Address))
	return []Action{{Kind: ActionHostListChanged, Hosts: l}}
}

// mergePeers returns the listed peers and the seeds that are not listed,
// without self.
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
