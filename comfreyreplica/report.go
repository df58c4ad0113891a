package comfreyreplica

import "time"

// Generation is one generation in a replica's load report.
type Generation struct {
	// ID is the id of the caller's request.
	ID string
	// Tokens is the size of the generation's KV cache.
	Tokens int
	// Events is the number of events that it has produced.
	Events int
}

// Report is the load report of a replica with an engine. Its data is a few
// hundred milliseconds old on arrival.
type Report struct {
	// Running and Waiting are numbers of generations.
	Running, Waiting int
	// UsedTokens is the KV cache that cannot be evicted, out of CapacityTokens.
	UsedTokens, CapacityTokens int
	// IsLeaving means that the replica accepts no new requests.
	IsLeaving bool
	// LeavesIn is the time until the replica stops serving; zero if unknown.
	LeavesIn    time.Duration
	Generations []Generation
	// StartMillis is when the replica started, in Unix milliseconds; zero if
	// unknown.
	StartMillis int64
}

// IsOf reports whether the report can be that of a replica: it states the same start as
// the registration, unless that states none. Replicas state their start in all that they
// say, so that a report without one comes from another replica at the address.
func (p Report) IsOf(r Replica) bool {
	return r.StartMillis == 0 || p.StartMillis == r.StartMillis
}

// ShowsReplacement reports whether the report shows that a replica has ended: another one
// has started later at its address, or under its id.
func (p Report) ShowsReplacement(r Replica) bool {
	return !p.IsOf(r) && p.StartMillis > r.StartMillis
}
