package comfreyfleet

// Status is what a sidecar says about itself. It is proof about the incarnation
// that said it, however it travelled. It is an immutable value.
type Status struct {
	// Incarnation identifies the process that speaks.
	Incarnation Incarnation
	// Accepting says whether the process takes new work. Within one
	// incarnation it goes from true to false and never back.
	Accepting bool
}

// Merge returns the newer knowledge of two words about one host: that of the
// greater incarnation, and within one incarnation the word of leaving. Merge
// is commutative and idempotent, so the order of arrival does not matter.
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
