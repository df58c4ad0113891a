package comfreyplacement

import "time"

const (
	// readTokensPerSecond is how fast an engine that also generates reads
	// prompts: 112 tokens in a step of 15 ms.
	readTokensPerSecond = 7_000
	// firstEventTime is what passes between a read prompt and its first event:
	// a few steps of an engine and the way to the caller.
	firstEventTime = 120 * time.Millisecond
	// minPatience is how long a request that is late already waits for a place:
	// long enough for a generation to end somewhere, short enough for its caller
	// to be told soon.
	minPatience = 250 * time.Millisecond
	// maxPatienceShare is the part of the objective for which a request waits at
	// most. Who would wait longer is told so while there is time to return, and
	// those that are accepted find replicas that are less full.
	maxPatienceShare = 0.25
	// lateUnreadTokens bounds the unread prompts before a request that is late
	// already, so that it does not make others late.
	lateUnreadTokens = 1_500
)

// QueueTimeout returns how long a generation may wait for a place: a part of its
// objective, and only while there is time left for its first event within it.
//
// The load pattern that it answers: more generations arrive than the memory of
// the engines holds. Those that would be late are rejected while their callers
// can still return, and those that are accepted are on time.
func QueueTimeout(objective, waited time.Duration, promptTokens int) time.Duration {
	longest := time.Duration(maxPatienceShare * float64(objective))
	return max(min(slack(objective, waited, promptTokens), longest), minPatience)
}

// MaxPendingPrefill returns how many tokens a replica may have left to read before a
// prompt, for the first event to come within its objective.
func MaxPendingPrefill(objective, waited time.Duration, promptTokens int) int {
	left := slack(objective, waited, promptTokens)
	return max(int(left.Seconds()*readTokensPerSecond), lateUnreadTokens)
}

// slack returns the time that is not needed for reading the prompt and making
// the first event; negative if the request will be late.
func slack(objective, waited time.Duration, promptTokens int) time.Duration {
	read := time.Duration(float64(promptTokens) / readTokensPerSecond * float64(time.Second))
	return objective - waited - read - firstEventTime
}
