package comfreyengine

import "time"

// Load is a load report of the engine. AsOf is the time that its figures refer
// to; it may lie in the past.
type Load struct {
	Running        int       `json:"running"`
	Waiting        int       `json:"waiting"`
	UsedTokens     int       `json:"used_tokens"`
	CapacityTokens int       `json:"capacity_tokens"`
	Preemptions    uint64    `json:"preemptions"`
	AsOf           time.Time `json:"as_of"`
}

// CommandKind is the kind of a command to an engine.
type CommandKind string

// The commands that engines accept.
const (
	CommandLoadModel   CommandKind = "load-model"
	CommandLoadAdapter CommandKind = "load-adapter"
	CommandLoadVersion CommandKind = "load-version"
	CommandChangeRole  CommandKind = "change-role"
)

// Command is an instruction to an engine to load a model, adapter or version or
// to change its role.
type Command struct {
	Kind CommandKind `json:"kind"`
	// Value names the model, adapter, version or role.
	Value string `json:"value"`
	// FencingNumber orders the commands; an engine that enforces fencing
	// refuses a number below the highest that it has seen.
	FencingNumber uint64 `json:"fencing_number"`
}

// State is what an engine has loaded. Pending is the command in progress, nil
// if there is none; LastError is the reason why the latest command failed.
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

// CacheEventKind is the kind of a change of the prefix cache.
type CacheEventKind string

// The changes of the prefix cache.
const (
	CacheEventStored  CacheEventKind = "stored"
	CacheEventRemoved CacheEventKind = "removed"
)

// CacheEvent is one change of the engine's prefix cache. Events arrive late,
// and a gap in Sequence is an event that was lost.
type CacheEvent struct {
	Sequence uint64         `json:"sequence"`
	Kind     CacheEventKind `json:"kind"`
	Block    string         `json:"block"`
	At       time.Time      `json:"at"`
}

// CacheEvents is the response to a request for cache events.
type CacheEvents struct {
	Events []CacheEvent `json:"events"`
}
