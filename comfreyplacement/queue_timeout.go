package comfreyplacement

import "time"

const (
	// prefillTokensPerSecond is how fast an engine prefills prompts while it
	// decodes: 112 tokens in a step of 15 ms.
	prefillTokensPerSecond = 7_000
	// pendingTokensPerSecond is the same for the prompts before one at a replica.
	// It is lower, because others arrive there that this gateway does not know of
	// yet.
	pendingTokensPerSecond = 5_200
	// firstEventOverhead is the time between the end of a prefill and the
	// arrival of the first event at the caller: a few engine steps and the
	// network.
	firstEventOverhead = 120 * time.Millisecond
	// minQueueTimeout is how long a request waits that is late already: long
	// enough for a generation to end at some replica, short enough for its
	// caller to get a quick refusal.
	minQueueTimeout = 250 * time.Millisecond
	// maxQueueTimeoutShare is the part of the target latency that a request may
	// spend in the queue. A request that would wait longer is refused while its
	// caller still has time to retry, and the accepted ones find replicas that
	// are less full.
	maxQueueTimeoutShare = 0.25
	// latePendingPrefillTokens bounds the pending prefill before a request that
	// is late already, so that it does not delay others.
	latePendingPrefillTokens = 1_500
)

// QueueTimeout returns how long a generation may wait for a placement, given
// the time since the arrival of the request: a share of its target latency, but
// no longer than the first event can still be on time. It is never shorter than
// minQueueTimeout.
//
// It is built for this load: more generations arrive than the KV caches of the
// engines hold. Those that would be late are refused while their callers can
// still retry, and the accepted ones are on time.
func QueueTimeout(target, waited time.Duration, promptTokens int) time.Duration {
	longest := time.Duration(maxQueueTimeoutShare * float64(target))
	return max(min(spareTime(target, waited, promptTokens), longest), minQueueTimeout)
}

// MaxPendingPrefill returns how many tokens a replica may have yet to prefill
// before a prompt, for the first event to arrive within the target latency. It
// is never less than latePendingPrefillTokens.
func MaxPendingPrefill(target, waited time.Duration, promptTokens int) int {
	left := spareTime(target, waited, promptTokens)
	return max(int(left.Seconds()*pendingTokensPerSecond), latePendingPrefillTokens)
}

// spareTime returns the part of the target latency that remains after the wait
// so far, the prefill and the first event; negative if the request will be
// late.
func spareTime(target, waited time.Duration, promptTokens int) time.Duration {
	prefill := time.Duration(float64(promptTokens) / prefillTokensPerSecond * float64(time.Second))
	return target - waited - prefill - firstEventOverhead
}
