package comfreyplacement

import "cmp"

// MoveOrder compares two generations of a leaving replica for sorting; the
// lesser one moves first. Small ones move first, so that as many as possible
// have moved in time. Those without a first event move last, because they
// cannot be copied yet and would delay the others.
func MoveOrder(a, b Movable) int {
	if a.IsDecoding != b.IsDecoding {
		if a.IsDecoding {
			return -1
		}
		return 1
	}
	return cmp.Compare(a.Tokens, b.Tokens)
}
