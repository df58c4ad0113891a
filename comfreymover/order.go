// Package comfreymover brings one upstream to the state that the configuration
// asks for: the model, its version, an adapter and a role. It sends one order
// at a time, each with a fencing number, and reads the upstream's state back,
// because some upstreams ignore the number. The package uses no socket and no
// clock.
package comfreymover

import (
	"cmp"
	"fmt"
)

// Fence is a fencing number. It grows with the configuration's revision, with
// the incarnation of the sidecar and with each order. The zero value is before
// all others.
type Fence struct {
	// Revision is the configuration revision that the order follows.
	Revision uint64
	// Incarnation is the incarnation of the sidecar that sends the order.
	Incarnation uint64
	// Counter counts the orders of the incarnation.
	Counter uint64
}

// Compare returns -1, 0 or +1 if f is before, equal to or after g.
func (f Fence) Compare(g Fence) int {
	return cmp.Or(
		cmp.Compare(f.Revision, g.Revision),
		cmp.Compare(f.Incarnation, g.Incarnation),
		cmp.Compare(f.Counter, g.Counter),
	)
}

// String returns f as hexadecimal text of fixed length, which sorts like f.
func (f Fence) String() string {
	return fmt.Sprintf("%016x-%016x-%016x", f.Revision, f.Incarnation, f.Counter)
}

// Target is a state of an upstream, wanted or read back. Any text is valid; an
// empty Adapter or Role stands for none.
type Target struct {
	// Model is the name of the loaded model.
	Model string
	// Version is the version of the model.
	Version string
	// Adapter is the name of the loaded adapter.
	Adapter string
	// Role is the role of the upstream.
	Role string
}

// OrderKind is the sort of an order.
type OrderKind int

// The kinds of order, in the sequence in which a mover sends them.
const (
	// OrderLoadModel loads Target.Model in Target.Version, without an adapter.
	OrderLoadModel OrderKind = iota
	// OrderLoadAdapter loads Target.Adapter, or unloads the adapter if that is
	// empty.
	OrderLoadAdapter
	// OrderChangeRole sets Target.Role.
	OrderChangeRole
)

// String returns the kebab-case name of k, which is "change-role" for an
// out-of-range value.
func (k OrderKind) String() string {
	switch k {
	case OrderLoadModel:
		return "load-model"
	case OrderLoadAdapter:
		return "load-adapter"
	default:
		return "change-role"
	}
}

// Order is one order to an upstream.
type Order struct {
	// Kind selects the part of Target that the order sets.
	Kind OrderKind
	// Target is the state that the configuration asks for.
	Target Target
	// Fence is the fencing number of the order.
	Fence Fence
}

// Apply returns the state that the order makes of t.
func (o Order) Apply(t Target) Target {
	switch o.Kind {
	case OrderLoadModel:
		t.Model, t.Version, t.Adapter = o.Target.Model, o.Target.Version, ""
	case OrderLoadAdapter:
		t.Adapter = o.Target.Adapter
	default:
		t.Role = o.Target.Role
	}
	return t
}

// NeedsWeights reports whether the order makes the upstream read from the
// weight store.
func (o Order) NeedsWeights() bool {
	return o.Kind == OrderLoadModel || (o.Kind == OrderLoadAdapter && o.Target.Adapter != "")
}

// next returns the first order on the way from the state t to the target u. It
// reports false if there is nothing to do.
func next(t, u Target) (Order, bool) {
	switch {
	case t.Model != u.Model || t.Version != u.Version:
		return Order{Kind: OrderLoadModel, Target: u}, true
	case t.Adapter != u.Adapter:
		return Order{Kind: OrderLoadAdapter, Target: u}, true
	case t.Role != u.Role:
		return Order{Kind: OrderChangeRole, Target: u}, true
	default:
		return Order{}, false
	}
}
