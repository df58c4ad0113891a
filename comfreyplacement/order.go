package comfreyplacement

import "cmp"

// MoveOrder compares two generations of a leaving replica; the lesser moves
// first. The smallest go first, so that as many as possible are away in time.
// Those that have not begun go last, because they cannot be copied yet and
// would hold up the others.
func MoveOrder(a, b Movable) int {
	if a.HasBegun != b.HasBegun {
		if a.HasBegun {
			return -1
		}
		return 1
	}
	return cmp.Compare(a.Tokens, b.Tokens)
}
