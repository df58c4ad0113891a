package comfreyreplica

import "time"

// Generation is one generation in a replica's report.
type Generation struct {
	// ID is the id of the caller's request.
	ID string
	// Tokens is the memory that the run holds.
	Tokens int
	// Events is how many events it has produced.
	Events int
}

// Report is what a replica with an engine says of itself. Its figures are some
// hundred milliseconds old when it arrives.
type Report struct {
	Running, Waiting int
	// UsedTokens is the memory that cannot yield.
	UsedTokens, CapacityTokens int
	// IsLeaving means that the replica takes no new work.
	IsLeaving bool
	// LeavesIn is how much longer it serves; zero if unknown.
	LeavesIn    time.Duration
	Generations []Generation
	// StartMillis is when the replica started, in Unix milliseconds; zero if unknown.
	StartMillis int64
}
