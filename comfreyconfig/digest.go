package comfreyconfig

// Digest identifies the active configuration and the host list of a process.
// Processes attach it to every message that they send to each other. Digests
// are immutable values.
type Digest struct {
	// Number and Hash are those of the active revision; Number is 0 if there is
	// none.
	Number uint64
	Hash   Hash
	// HostsNumber and HostsHash are those of the host list.
	HostsNumber uint64
	HostsHash   Hash
	// Conflict reports that different content was seen under Number.
	Conflict bool
}
