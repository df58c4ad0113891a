package comfreyconfig

// Digest tells what configuration a process has in force. It travels on every
// message between processes. Digests are immutable values.
type Digest struct {
	// Number and Hash are those of the revision in force; Number is 0 if none
	// is.
	Number uint64
	Hash   Hash
	// HostsNumber and HostsHash are those of the host list.
	HostsNumber uint64
	HostsHash   Hash
	// Conflict says that other content was seen under Number.
	Conflict bool
}
