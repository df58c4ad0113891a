package comfreyconfig

import "comfreyridge.example/comfreyridge/comfreyverdict"

// Outcome is the result of comparing, checking or activating a revision.
type Outcome int

// The outcomes.
const (
	// OutcomeAlreadyActive means that the revision is already active.
	OutcomeAlreadyActive Outcome = iota
	// OutcomeAccepted means that the revision is newer than the active one and,
	// if it was checked, valid. After Activate it is the active one.
	OutcomeAccepted
	// OutcomeStale means that the number is below that of the active revision.
	OutcomeStale
	// OutcomeConflict means that the active revision has the same number and
	// different content.
	OutcomeConflict
	// OutcomeInvalid means that the content has faults.
	OutcomeInvalid
	// OutcomeCorrupt means that a blob is missing or does not match its hash.
	OutcomeCorrupt
)

// String returns the kebab-case name of o, which is "unknown" for an
// out-of-range value.
func (o Outcome) String() string {
	names := [...]string{"held", "taken", "stale", "conflict", "invalid", "corrupt"}
	if o < 0 || int(o) >= len(names) {
		return "unknown"
	}
	return names[o]
}

// Reason returns the reason code of o for logs and metrics.
func (o Outcome) Reason() comfreyverdict.Reason {
	switch o {
	case OutcomeAlreadyActive:
		return comfreyverdict.ReasonConfigHeld
	case OutcomeAccepted:
		return comfreyverdict.ReasonConfigTaken
	case OutcomeStale:
		return comfreyverdict.ReasonConfigStale
	case OutcomeConflict:
		return comfreyverdict.ReasonConfigConflict
	case OutcomeInvalid:
		return comfreyverdict.ReasonConfigInvalid
	case OutcomeCorrupt:
		return comfreyverdict.ReasonConfigCorrupt
	default:
		return comfreyverdict.ReasonInternal
	}
}
