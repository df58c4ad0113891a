// Package comfreyreconciler brings one upstream to the state that the configuration
// asks for: the model, its version, an adapter and a role. It sends one order
// at a time, each with a fencing number, and reads the upstream's state back,
// because some upstreams ignore the number. The package uses no socket and no
// clock.
package comfreyreconciler

import (
	"cmp"
	"fmt"
)

// FencingNumber is a fencing number. It grows with the configuration's revision, with
// the incarnation of the sidecar and with each order. The zero value is before
// all others.
type FencingNumber struct {
	// Revision is the configuration revision that the order follows.
	Revision uint64
	// Incarnation is the incarnation of the sidecar that sends the order.
	Incarnation uint64
	// Counter counts the orders of the incarnation.
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

// State is a state of an upstream, wanted or read back. Any text is valid; an
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

// CommandKind is the sort of an order.
type CommandKind int

// The kinds of order, in the sequence in which a mover sends them.
const (
	// CommandLoadModel loads Target.Model in Target.Version, without an adapter.
	CommandLoadModel CommandKind = iota
	// CommandLoadAdapter loads Target.Adapter, or unloads the adapter if that is
	// empty.
	CommandLoadAdapter
	// CommandChangeRole sets Target.Role.
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

// Command is one order to an upstream.
type Command struct {
	// Kind selects the part of Target that the order sets.
	Kind CommandKind
	// Desired is the state that the configuration asks for.
	Desired State
	// FencingNumber is the fencing number of the order.
	FencingNumber FencingNumber
}

// Apply returns the state that the order makes of t.
func (o Command) Apply(t State) State {
	switch o.Kind {
	case CommandLoadModel:
		t.Model, t.Version, t.Adapter = o.Desired.Model, o.Desired.Version, ""
	case CommandLoadAdapter:
		t.Adapter = o.Desired.Adapter
	default:
		t.Role = o.Desired.Role
	}
	return t
}

// LoadsWeights reports whether the order makes the upstream read from the
// weight store.
func (o Command) LoadsWeights() bool {
	return o.Kind == CommandLoadModel || (o.Kind == CommandLoadAdapter && o.Desired.Adapter != "")
}

// next returns the first order on the way from the state t to the target u. It
// reports false if there is nothing to do.
func next(t, u State) (Command, bool) {
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
