package comfreyconfig

import "time"

// ActionKind is the kind of an Action.
type ActionKind int

// The kinds of action.
const (
	// ActionExchange sends the digest to Peer; the result goes to
	// Node.HandleExchangeResult or Node.HandleExchangeFailure.
	ActionExchange ActionKind = iota
	// ActionFetch fetches the blobs Hashes from Peer, or from the platform if
	// the address of Peer is empty; the result goes to Node.HandleFetchResult.
	ActionFetch
	// ActionReadManifest reads the manifest from the platform; the result goes
	// to Node.HandleManifestResult.
	ActionReadManifest
	// ActionWatchManifest watches the manifest at the platform for up to Wait,
	// until its number is above After; the result goes to
	// Node.HandleManifestResult.
	ActionWatchManifest
	// ActionReadHosts reads the host list from the platform if its number is
	// above After; the result goes to Node.HandleHostsResult.
	ActionReadHosts
	// ActionActivated reports that Revision, with Settings, became active.
	ActionActivated
	// ActionHostListChanged reports that a newer host list, Hosts, was
	// received.
	ActionHostListChanged
	// ActionReportOutcome reports why the revision Number with Hash was not
	// activated, with its faults. OutcomeConflict must alert the operator.
	ActionReportOutcome
)

// Action is an operation that the process carries out for its Node. Fields that
// the description of its kind does not mention are zero.
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

// ManifestResult is the result of ActionReadManifest or ActionWatchManifest.
type ManifestResult struct {
	// SentAt is when the call was sent.
	SentAt time.Time
	// Kind is the kind of the action.
	Kind ActionKind
	// Failed reports that the call failed or timed out.
	Failed bool
	// Unchanged reports that a watch ended without a newer manifest. Hash is
	// then the hash of the manifest that the platform holds.
	Unchanged bool
	Hash      Hash
	// Number is the revision number under which the platform holds Manifest.
	Number   uint64
	Manifest []byte
}

// FetchResult is the result of ActionFetch.
type FetchResult struct {
	// Peer is the peer of the action.
	Peer Peer
	// Failed reports that the call failed or timed out.
	Failed bool
	// Blobs are the requested blobs that the peer or the platform returned;
	// some may be missing.
	Blobs [][]byte
}

// HostsResult is the result of ActionReadHosts.
type HostsResult struct {
	// Failed reports that the call failed or timed out.
	Failed bool
	// Unchanged reports that the list is not newer than After.
	Unchanged bool
	// Number orders host lists; Text is the JSON text of the list.
	Number uint64
	Text   []byte
}
