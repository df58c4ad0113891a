// Package comfreyverdict defines what a refusal or failure says about the
// request it ends: whether the request may have run, why it ended, and when
// the caller may try again.
package comfreyverdict

import "fmt"

// Verdict says whether a request may have run at an upstream. The zero value
// is VerdictMayHaveRun, so that a verdict that was never set claims nothing.
type Verdict int

// The verdicts, in the order of the protocol's numbers.
const (
	// VerdictMayHaveRun means that nobody can prove whether the request ran.
	VerdictMayHaveRun Verdict = iota
	// VerdictNotRun means that the request did not run and cannot run later.
	VerdictNotRun
	// VerdictRan means that the request ran, wholly or in part.
	VerdictRan
)

// String returns the kebab-case name of v. An out-of-range value is reported
// as "may-have-run", the verdict that claims least.
func (v Verdict) String() string {
	switch v {
	case VerdictNotRun:
		return "not-run"
	case VerdictRan:
		return "ran"
	default:
		return "may-have-run"
	}
}

// Join returns the verdict on a request of which two attempts were made: it
// ran if either did, and it did not run only if neither did.
func (v Verdict) Join(o Verdict) Verdict {
	if v == VerdictRan || o == VerdictRan {
		return VerdictRan
	}
	if v == VerdictNotRun && o == VerdictNotRun {
		return VerdictNotRun
	}
	return VerdictMayHaveRun
}

// ParseVerdict returns the verdict that String names. It returns an error for
// any other text.
func ParseVerdict(s string) (Verdict, error) {
	for _, v := range []Verdict{VerdictMayHaveRun, VerdictNotRun, VerdictRan} {
		if v.String() == s {
			return v, nil
		}
	}
	return VerdictMayHaveRun, fmt.Errorf("comfreyverdict: unknown verdict %q", s)
}
