// Package comfreyquarantine decides which requests may run after an upstream
// has crashed. A request that crashes every upstream that executes it crashes
// at most two of them. The requests that were in flight beside it are cleared
// once they complete at another upstream. The package holds the crash records
// of one process and the leases of one witness; it uses no socket and no clock.
package comfreyquarantine

import (
	"cmp"
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"hash"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Fingerprint identifies a feature of requests that may make them crash their
// upstream: the whole request, which its copies share, or a part of its prompt.
type Fingerprint [16]byte

// NewFingerprint returns the fingerprint of a request's customer, service and
// body. Requests that differ in any of them have different fingerprints.
func NewFingerprint(customer, service string, body []byte) Fingerprint {
	h := sha256.New()
	writeStrings(h, customer, service)
	h.Write(body)
	return Fingerprint(h.Sum(nil))
}

// NewPartFingerprint returns the fingerprint of a part of a prompt at a service, which
// the requests share that have the part, whatever else they hold.
func NewPartFingerprint(service, part string) Fingerprint {
	h := sha256.New()
	writeStrings(h, "prompt part", service, part)
	return Fingerprint(h.Sum(nil))
}

// writeStrings writes strings to a hash, each with its length.
func writeStrings(h hash.Hash, l ...string) {
	for _, s := range l {
		h.Write(binary.BigEndian.AppendUint64(nil, uint64(len(s))))
		h.Write([]byte(s))
	}
}

// String returns f in hexadecimal digits.
func (f Fingerprint) String() string {
	return hex.EncodeToString(f[:])
}

// WitnessHosts returns up to n of the hosts of a service, in the order in which
// their sidecars are asked to be the witness of f. It uses rendezvous hashing:
// processes with the same host list agree on the order, and a host that joins
// or leaves changes the order only for its own share of the fingerprints.
func WitnessHosts(f Fingerprint, hosts []string, n int) []string {
	s := make([]candidate, 0, n+1)
	var d xxhash.Digest
	for _, h := range hosts {
		d.Reset()
		d.Write(f[:])
		d.WriteString(h)
		c := candidate{h, d.Sum64()}
		i, _ := slices.BinarySearchFunc(s, c, candidate.compare)
		if i < n {
			s = slices.Insert(s[:min(len(s), n-1)], i, c)
		}
	}
	names := make([]string, len(s))
	for i, c := range s {
		names[i] = c.host
	}
	return names
}

// candidate is a host with its rendezvous score for a fingerprint.
type candidate struct {
	host  string
	score uint64
}

// compare orders candidates by descending score.
func (c candidate) compare(d candidate) int {
	return cmp.Or(cmp.Compare(d.score, c.score), cmp.Compare(c.host, d.host))
}
