package comfreyconfig

import "comfreyridge.example/comfreyridge/comfreyverdict"

// Outcome says what became of an offered revision.
type Outcome int

// The outcomes.
const (
	// OutcomeAlreadyActive means that the offered revision is already in force.
	OutcomeAlreadyActive Outcome = iota
	// OutcomeActivated means that the revision came into force.
	OutcomeActivated
	// OutcomeStale means that the number is below the one in force.
	OutcomeStale
	// OutcomeConflict means that the number is in force with other content.
	OutcomeConflict
	// OutcomeInvalid means that the content has faults.
	OutcomeInvalid
	// OutcomeCorrupt means that a blob is missing or does not have its hash.
	OutcomeCorrupt
)

// String returns the kebab-case name of o.
func (o Outcome) String() string {
	names := [...]string{"held", "taken", "stale", "conflict", "invalid", "corrupt"}
	if o < 0 || int(o) >= len(names) {
		return "unknown"
	}
	return names[o]
}

// Reason returns the reason that logs and counters give for o.
func (o Outcome) Reason() comfreyverdict.Reason {
	switch o {
	case OutcomeAlreadyActive:
		return comfreyverdict.ReasonConfigHeld
	case OutcomeActivated:
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
