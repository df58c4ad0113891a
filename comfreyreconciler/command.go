// Package comfreyreconciler brings one upstream to the state that the
// configuration asks for: the model, its version, an adapter and a role. It
// sends one command at a time, each with a fencing number, and reads the
// upstream's state back, because some upstreams ignore the number. The package
// uses no socket and no clock.
package comfreyreconciler

import (
	"cmp"
	"fmt"
)

// FencingNumber orders the commands to an upstream, so that the upstream can
// refuse those of a superseded sidecar. It increases with the configuration's
// revision, with the incarnation of the sidecar and with each command. The zero
// value is before all others.
type FencingNumber struct {
	// Revision is the configuration revision that the command follows.
	Revision uint64
	// Incarnation is the incarnation of the sidecar that sends the command.
	Incarnation uint64
	// Counter counts the commands of the incarnation.
	Counter uint64
}

// Compare returns -1, 0 or +1 if f is before, equal to or after g.
func (f FencingNumber) Compare(g FencingNumber) int {
	return cmp.Or(
		cmp.Compare(f.Revision, g.Revision),
		cmp.Compare(f.Incarnation, g.Incarnation),
		cmp.Compare(f.Counter, g.Counter),
	)
}

// String returns f as hexadecimal text of fixed length, which sorts like f.
func (f FencingNumber) String() string {
	return fmt.Sprintf("%016x-%016x-%016x", f.Revision, f.Incarnation, f.Counter)
}

// State is a desired or observed state of an upstream. Any text is valid; an
// empty Adapter or Role stands for none.
type State struct {
	// Model is the name of the loaded model.
	Model string
	// Version is the version of the model.
	Version string
	// Adapter is the name of the loaded adapter.
	Adapter string
	// Role is the role of the upstream.
	Role string
}

// CommandKind is the kind of a command.
type CommandKind int

// The kinds of command, in the sequence in which a reconciler sends them.
const (
	// CommandLoadModel loads Desired.Model in Desired.Version, without an adapter.
	CommandLoadModel CommandKind = iota
	// CommandLoadAdapter loads Desired.Adapter, or unloads the adapter if that is
	// empty.
	CommandLoadAdapter
	// CommandChangeRole sets Desired.Role.
	CommandChangeRole
)

// String returns the kebab-case name of k, which is "change-role" for an
// out-of-range value.
func (k CommandKind) String() string {
	switch k {
	case CommandLoadModel:
		return "load-model"
	case CommandLoadAdapter:
		return "load-adapter"
	default:
		return "change-role"
	}
}

// Command is one command to an upstream.
type Command struct {
	// Kind selects the part of Desired that the command sets.
	Kind CommandKind
	// Desired is the state that the configuration asks for.
	Desired State
	// FencingNumber is the fencing number of the command.
	FencingNumber FencingNumber
}

// Apply returns the state that results when the command is applied to t.
func (c Command) Apply(t State) State {
	switch c.Kind {
	case CommandLoadModel:
		t.Model, t.Version, t.Adapter = c.Desired.Model, c.Desired.Version, ""
	case CommandLoadAdapter:
		t.Adapter = c.Desired.Adapter
	default:
		t.Role = c.Desired.Role
	}
	return t
}

// LoadsWeights reports whether the upstream reads from the weight store to
// carry out the command.
func (c Command) LoadsWeights() bool {
	return c.Kind == CommandLoadModel || (c.Kind == CommandLoadAdapter && c.Desired.Adapter != "")
}

// nextCommand returns the first command on the way from the state t to the
// desired state u, and false if there is nothing to do.
func nextCommand(t, u State) (Command, bool) {
	switch {
	case t.Model != u.Model || t.Version != u.Version:
		return Command{Kind: CommandLoadModel, Desired: u}, true
	case t.Adapter != u.Adapter:
		return Command{Kind: CommandLoadAdapter, Desired: u}, true
	case t.Role != u.Role:
		return Command{Kind: CommandChangeRole, Desired: u}, true
	default:
		return Command{}, false
	}
}
