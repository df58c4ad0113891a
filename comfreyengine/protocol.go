package comfreyengine

import "time"

// Load is a load report of the engine. It is as old as AsOf says.
type Load struct {
	Running        int       `json:"running"`
	Waiting        int       `json:"waiting"`
	UsedTokens     int       `json:"used_tokens"`
	CapacityTokens int       `json:"capacity_tokens"`
	Preemptions    uint64    `json:"preemptions"`
	AsOf           time.Time `json:"as_of"`
}

// CommandKind is the sort of an order to an engine.
type CommandKind string

// The orders that engines take.
const (
	CommandLoadModel   CommandKind = "load-model"
	CommandLoadAdapter CommandKind = "load-adapter"
	CommandLoadVersion CommandKind = "load-version"
	CommandChangeRole  CommandKind = "change-role"
)

// Command is one order to an engine.
type Command struct {
	// Kind is the sort of the order.
	Kind CommandKind `json:"kind"`
	// Value names the model, adapter, version or role.
	Value string `json:"value"`
	// FencingNumber orders the orders; an engine that enforces fencing refuses
	// one below the highest it has seen.
	FencingNumber uint64 `json:"fencing_number"`
}

// State is what an engine has loaded. Pending is the order in progress, nil if
// there is none; LastError says why the latest order failed.
type State struct {
	Identity      string   `json:"identity"`
	Model         string   `json:"model"`
	Adapter       string   `json:"adapter"`
	Version       string   `json:"version"`
	Role          string   `json:"role"`
	FencingNumber uint64   `json:"fencing_number"`
	Pending       *Command `json:"pending,omitempty"`
	LastError     string   `json:"last_error,omitempty"`
	Reclaimed     bool     `json:"reclaimed"`
}

// CacheEventKind is the sort of a change of the prefix cache.
type CacheEventKind string

// The changes of the prefix cache.
const (
	CacheEventStored  CacheEventKind = "stored"
	CacheEventRemoved CacheEventKind = "removed"
)

// CacheEvent is one change of the engine's prefix cache. Events come late, and
// a gap in Sequence is an event that never comes.
type CacheEvent struct {
	Sequence uint64         `json:"sequence"`
	Kind     CacheEventKind `json:"kind"`
	Block    string         `json:"block"`
	At       time.Time      `json:"at"`
}

// CacheEvents is the answer to a call for cache events.
type CacheEvents struct {
	Events []CacheEvent `json:"events"`
}
