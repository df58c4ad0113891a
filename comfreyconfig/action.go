package comfreyconfig

import "time"

// ActionKind says what a process has to do.
type ActionKind int

// The kinds of action.
const (
	// ActionExchange sends the digest to Peer; the answer goes to Exchanged.
	ActionExchange ActionKind = iota
	// ActionFetch asks Peer, or the platform if the address is empty, for the
	// blobs Hashes; the answer goes to Fetched.
	ActionFetch
	// ActionReadManifest reads the manifest from the platform; the answer goes to
	// PlatformAnswered.
	ActionReadManifest
	// ActionWatchManifest waits at the platform for up to Wait until the manifest's
	// number is above After; the answer goes to PlatformAnswered.
	ActionWatchManifest
	// ActionReadHosts reads the host list from the platform if its number is above
	// After; the answer goes to HostsAnswered.
	ActionReadHosts
	// ActionActivated reports that Revision with Settings came into force.
	ActionActivated
	// ActionHostListChanged reports that Hosts is the newest host list.
	ActionHostListChanged
	// ActionReportOutcome reports what became of a revision that was not taken, with
	// its faults; a conflict is an alarm.
	ActionReportOutcome
)

// Action is one thing that a process has to do. The fields that its kind does
// not name are zero.
type Action struct {
	Kind     ActionKind
	Peer     Peer
	Hashes   []Hash
	After    uint64
	Wait     time.Duration
	Revision Revision
	Settings Settings
	Hosts    HostList
	Outcome  Outcome
	Number   uint64
	Hash     Hash
	Faults   []Fault
}

// ManifestResult is the outcome of ActionRead or ActionWatch.
type ManifestResult struct {
	// SentAt is when the call was sent.
	SentAt time.Time
	// Kind is the kind of the action that was answered.
	Kind ActionKind
	// Failed says that no answer came.
	Failed bool
	// Unchanged says that a watch ended with nothing newer. Hash then is that
	// of the manifest which the platform holds.
	Unchanged bool
	Hash      Hash
	// Number and Manifest are the value.
	Number   uint64
	Manifest []byte
}

// FetchResult is the outcome of ActionFetch.
type FetchResult struct {
	// Peer is whom the action named.
	Peer Peer
	// Failed says that no answer came.
	Failed bool
	// Blobs are the blobs that the peer holds; it may leave out some.
	Blobs [][]byte
}

// HostsResult is the outcome of ActionHosts.
type HostsResult struct {
	// Failed says that no answer came.
	Failed bool
	// Unchanged says that the list is not newer.
	Unchanged bool
	// Number and Text are the list.
	Number uint64
	Text   []byte
}
