package comfreyfleet

// Status is what a sidecar reports about itself. It is authoritative for the
// incarnation that reported it, whether it was received directly or through
// another process. It is an immutable value.
type Status struct {
	// Incarnation identifies the process that reports.
	Incarnation Incarnation
	// Accepting says whether the process accepts new work. Within one
	// incarnation it changes from true to false and never back.
	Accepting bool
}

// Merge returns the newer of two statuses of one host: that of the greater
// incarnation, and within one incarnation the one that accepts no work. Merge is
// commutative and idempotent, so the order of arrival does not matter.
func (w Status) Merge(o Status) Status {
	switch {
	case o.Incarnation > w.Incarnation:
		return o
	case o.Incarnation < w.Incarnation:
		return w
	default:
		w.Accepting = w.Accepting && o.Accepting
		return w
	}
}
