package comfreyverdict

// Reason names why a decision was taken. The set is closed: a reason appears
// in logs, counters, headers and bodies, and docs/REASONS.md explains each.
type Reason string

// The reasons, sorted by value. Every value is kebab case.
const (
	ReasonAccepted           Reason = "accepted"
	ReasonAdmissionFull      Reason = "admission-full"
	ReasonBadRequest         Reason = "bad-request"
	ReasonBodyTooLarge       Reason = "body-too-large"
	ReasonCallerGone         Reason = "caller-gone"
	ReasonCancelled          Reason = "cancelled"
	ReasonConnectionLost     Reason = "connection-lost"
	ReasonCustomerLimit      Reason = "customer-limit"
	ReasonDeadline           Reason = "deadline"
	ReasonDialFailed         Reason = "dial-failed"
	ReasonDrainLimit         Reason = "drain-limit"
	ReasonDuplicateRequest   Reason = "duplicate-request"
	ReasonEngineFailed       Reason = "engine-failed"
	ReasonEngineRefused      Reason = "engine-refused"
	ReasonFewChoices         Reason = "few-choices"
	ReasonForeignGeneration  Reason = "foreign-generation"
	ReasonInternal           Reason = "internal"
	ReasonLeastLoaded        Reason = "least-loaded"
	ReasonLeaving            Reason = "leaving"
	ReasonNoConfiguration    Reason = "no-configuration"
	ReasonNoUpstream         Reason = "no-upstream"
	ReasonPrefixAffinity     Reason = "prefix-affinity"
	ReasonProbePool          Reason = "probe-pool"
	ReasonRandom             Reason = "random"
	ReasonReplayWindowPassed Reason = "replay-window-passed"
	ReasonRetryBudget        Reason = "retry-budget"
	ReasonSequenceGap        Reason = "sequence-gap"
	ReasonSlowReader         Reason = "slow-reader"
	ReasonSpill              Reason = "spill"
	ReasonSuspectRequest     Reason = "suspect-request"
	ReasonUnauthorized       Reason = "unauthorized"
	ReasonUnknownGeneration  Reason = "unknown-generation"
	ReasonUnknownService     Reason = "unknown-service"
)
